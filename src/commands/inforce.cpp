#include "commands/inforce.h"

namespace samphireswitch::commands {

Result<configuration::ConfigurationTable> readTable(store::ConfigurationStore &store)
{
    BOOST_LEAF_AUTO(delta, store.changesSince(0));
    configuration::ConfigurationTable table;
    if (delta.to != 0) {
        auto applied = table.apply(delta);
        if (!applied) {
            return applied.error();
        }
    }
    return table;
}

} // namespace samphireswitch::commands
