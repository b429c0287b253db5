#pragma once

#include "deployment.h"

namespace review {

/** What a case has shown; the value is the exit status. */
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/** A route is removed and restored at once, while the store is slow. */
Verdict changeTakenBack(Deployment &deployment);

/** All balancers of a failure domain are lost for good, and new ones take their place. */
Verdict balancersReplaced(Deployment &deployment);

} // namespace review
