// Guards against crashes and over-reads on any value of the store, and against flows that do not survive another write.

#include "passthrough/storedflows.h"

#include <cstdlib>

// libFuzzer defines the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace samphireswitch::passthrough;
    const std::string_view value(reinterpret_cast<const char *>(data), size);
    const auto decoded = decodeStoredFlows(value);
    if (decoded && encodeStoredFlows(*decoded) != value) {
        std::abort();
    }
    return 0;
}
