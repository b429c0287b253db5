#include "passthrough/decision.h"

namespace samphireswitch::passthrough {

std::string_view causeName(Cause cause)
{
    switch (cause) {
    case Cause::Owned:
        return "owned";
    case Cause::Accepted:
        return "accepted";
    case Cause::Repeated:
        return "repeated";
    case Cause::OwnerUnknown:
        return "owner-unknown";
    case Cause::Located:
        return "located";
    case Cause::Redirected:
        return "redirected";
    case Cause::WrongService:
        return "wrong-service";
    case Cause::NotReady:
        return "upstream-not-ready";
    case Cause::Evacuated:
        return "evacuated";
    case Cause::UpstreamSilent:
        return "upstream-silent";
    case Cause::Busy:
        return "busy";
    case Cause::Paced:
        return "paced";
    case Cause::ColdLimit:
        return "cold-limit";
    case Cause::NotServed:
        return "not-served";
    case Cause::Held:
        return "held";
    case Cause::Released:
        return "released";
    case Cause::WouldBeLate:
        return "would-be-late";
    case Cause::Displaced:
        return "displaced";
    case Cause::TableFull:
        return "table-full";
    case Cause::UpstreamDeclined:
        return "upstream-declined";
    case Cause::NotOwned:
        return "not-owned";
    case Cause::AgentSilent:
        return "agent-silent";
    case Cause::SearchRepeated:
        return "search-repeated";
    case Cause::NobodyAccepts:
        return "nobody-accepts";
    case Cause::NoOwner:
        return "no-owner";
    case Cause::UpstreamLostFlow:
        return "upstream-lost-flow";
    case Cause::FromUpstream:
        return "from-upstream";
    case Cause::UnknownReturn:
        return "unknown-return";
    }
    return "unknown";
}

} // namespace samphireswitch::passthrough
