#include "base/resultcode.h"

namespace samphireswitch {

std::string_view resultCodeName(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return "Ok";
    case ResultCode::UsageError:
        return "UsageError";
    case ResultCode::InvalidAddress:
        return "InvalidAddress";
    case ResultCode::InvalidSettings:
        return "InvalidSettings";
    case ResultCode::InvalidDeclaration:
        return "InvalidDeclaration";
    case ResultCode::FileNotReadable:
        return "FileNotReadable";
    case ResultCode::MessageMalformed:
        return "MessageMalformed";
    case ResultCode::MessageTooLarge:
        return "MessageTooLarge";
    case ResultCode::PacketMalformed:
        return "PacketMalformed";
    case ResultCode::StoreUnavailable:
        return "StoreUnavailable";
    case ResultCode::StoreAnswerMalformed:
        return "StoreAnswerMalformed";
    case ResultCode::StoreConflict:
        return "StoreConflict";
    case ResultCode::StoreCompacted:
        return "StoreCompacted";
    case ResultCode::StoreRejected:
        return "StoreRejected";
    case ResultCode::PlanNotFound:
        return "PlanNotFound";
    case ResultCode::PlanOutdated:
        return "PlanOutdated";
    case ResultCode::PlanRefused:
        return "PlanRefused";
    case ResultCode::GenerationOutdated:
        return "GenerationOutdated";
    case ResultCode::GenerationGap:
        return "GenerationGap";
    case ResultCode::ContentMismatch:
        return "ContentMismatch";
    case ResultCode::PeerUnavailable:
        return "PeerUnavailable";
    case ResultCode::SocketError:
        return "SocketError";
    case ResultCode::OutOfResources:
        return "OutOfResources";
    case ResultCode::TraceMalformed:
        return "TraceMalformed";
    }
    return "Unknown";
}

} // namespace samphireswitch
