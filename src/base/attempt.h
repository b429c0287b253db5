#pragma once

#include "base/resultcode.h"

#include <type_traits>
#include <utility>
#include <variant>

namespace samphireswitch {

namespace detail {

template<typename T>
struct AttemptValue
{
    using Type = T;
};

template<>
struct AttemptValue<void>
{
    using Type = std::monostate;
};

template<typename T>
struct ResultValue;

template<typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

/** T of the Result<T> that a function returns. */
template<typename Function>
using ResultValueOf = typename ResultValue<std::invoke_result_t<Function>>::Type;

} // namespace detail

/** The value of a Result or its error, as plain data. Attempt<void> holds std::monostate on success. */
template<typename T>
using Attempt = std::variant<typename detail::AttemptValue<T>::Type, Error>;

/**
 * Calls @p function, which returns a Result, and returns its value or its Error. For code that decides by the
 * error's code; code that only hands errors on uses the Result itself.
 */
template<typename Function>
Attempt<detail::ResultValueOf<Function>> attempt(Function &&function)
{
    using Value = detail::ResultValueOf<Function>;
    using Outcome = Attempt<Value>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            auto result = function();
            if (!result) {
                return result.error();
            }
            if constexpr (std::is_void_v<Value>) {
                return Outcome {std::in_place_index<0>};
            } else {
                return Outcome {std::in_place_index<0>, std::move(*result)};
            }
        },
        [](const Error &error) {
            return Outcome {std::in_place_index<1>, error};
        },
        [] {
            return Outcome {std::in_place_index<1>, Error {ResultCode::Ok, "the failure carries no error object"}};
        });
}

} // namespace samphireswitch
