#pragma once

#include "base/attempt.h"

namespace samphireswitch {

/** Calls @p function, which returns a Result, and returns its error; ResultCode::Ok if it succeeded. */
template<typename Function>
Error errorOf(Function &&function)
{
    const auto outcome = attempt(std::forward<Function>(function));
    const Error *error = std::get_if<1>(&outcome);
    return error == nullptr ? Error {} : *error;
}

} // namespace samphireswitch
