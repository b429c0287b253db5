#pragma once

#include "base/resultcode.h"

namespace samphireswitch {

/** Calls @p function, which returns a Result, and returns its error; ResultCode::Ok if it succeeded. */
template<typename Function>
Error errorOf(Function &&function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Error> {
            auto result = function();
            if (!result) {
                return result.error();
            }
            return Error {};
        },
        [](const Error &error) { return error; },
        [] {
            return Error {ResultCode::Ok, "the failure carries no error object"};
        });
}

} // namespace samphireswitch
