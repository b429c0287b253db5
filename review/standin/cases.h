#pragma once

#include "deployment.h"

namespace review {

/** What a case has shown; the value is the exit status. */
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/** A route is removed and restored at once, while the store is slow. */
Verdict changeTakenBack(Deployment &deployment);

} // namespace review
