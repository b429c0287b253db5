#include "platform/siteday.h"

namespace samphireswitch::platform {

// No case plays the day of a site. The project's own definition needs a library that the product does without.
bool isFirstPool(const SiteDay & /*day*/, const std::string & /*pool*/)
{
    return false;
}

} // namespace samphireswitch::platform
