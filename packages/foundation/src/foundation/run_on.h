#pragma once

#include <memory>
#include <optional>
#include <type_traits>
#include <utility>

#include "foundation/asio.h"

namespace qp {

namespace detail {

// A co_spawn handler needs a default-constructible value; Result<T> is not.
template <class Function, class Value>
Task<void> CallAndStore(Function function,
                        std::shared_ptr<std::optional<Value>> value) {
  value->emplace(function());
  co_return;
}

}  // namespace detail

/// Calls `function` on `executor` and returns its result to the calling
/// coroutine, which continues on its own executor. While `function` runs, the
/// calling thread serves other work. `function` must own what it uses, since it
/// can outlive the calling coroutine when the process stops. With an empty
/// executor `function` is called at once.
template <class Function>
Task<std::invoke_result_t<Function&>> RunOn(asio::any_io_executor executor,
                                            Function function) {
  using Value = std::invoke_result_t<Function&>;
  if (!executor) {
    co_return function();
  }
  auto value = std::make_shared<std::optional<Value>>();
  Task<void> call = detail::CallAndStore(std::move(function), value);
  co_await asio::co_spawn(executor, std::move(call), asio::use_awaitable);
  co_return std::move(**value);
}

}  // namespace qp
