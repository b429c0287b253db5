#pragma once

#include "configuration/configurationtable.h"
#include "store/configurationstore.h"

namespace samphireswitch::commands {

/** Reads the whole configuration in force from the store. Fails with ResultCode::StoreUnavailable and the like. */
Result<configuration::ConfigurationTable> readTable(store::ConfigurationStore &store);

} // namespace samphireswitch::commands
