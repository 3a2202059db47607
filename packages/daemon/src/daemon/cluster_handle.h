#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "foundation/asio.h"

namespace qp {

class ClusterNode;

/// Reaches the ClusterNode, which lives on its controller's thread.
class ClusterHandle {
 public:
  virtual ~ClusterHandle() = default;

  /// Runs `work` on the node's thread, in the order of the calls.
  virtual void Post(std::function<void(ClusterNode&)> work) = 0;

  /// Runs `work` on the node's thread and resumes with its result here.
  template <class Work>
  auto Ask(Work work) -> Task<decltype(work(std::declval<ClusterNode&>()))> {
    using Value = decltype(work(std::declval<ClusterNode&>()));
    auto executor = co_await asio::this_coro::executor;
    auto done = std::make_shared<asio::steady_timer>(executor);
    done->expires_at(asio::steady_timer::time_point::max());
    auto value = std::make_shared<std::optional<Value>>();
    this->Post([done, value, executor, work](ClusterNode& node) {
      auto result = work(node);
      asio::post(executor, [done, value, result = std::move(result)]() mutable {
        value->emplace(std::move(result));
        done->cancel();
      });
    });
    while (!value->has_value()) {
      boost::system::error_code ignored;
      co_await done->async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(**value);
  }
};

}  // namespace qp
