#pragma once

#include "deployment.h"

namespace review {

/** What a case has shown; the value is the exit status. */
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/** A route is removed and restored at once, while the store is slow. */
Verdict changeTakenBack(Deployment &deployment);

/** All balancers of a failure domain are lost for good, and new ones take their place. */
Verdict balancersReplaced(Deployment &deployment);

/** The store turns the balancers away that watch it, and serves all others. */
Verdict watchersTurnedAway(Deployment &deployment);

/** Two agents stand still one after the other, and the second one continues an old search. */
Verdict agentsStandStill(Deployment &deployment);

} // namespace review
