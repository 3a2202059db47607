#pragma once

// clang-format off
// Must come first: Boost.Asio 1.74 uses std::exchange but omits <utility>.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace qp {

namespace asio = boost::asio;

/// Coroutine that runs on the request thread and returns a T.
template <class T>
using Task = boost::asio::awaitable<T>;

}  // namespace qp
