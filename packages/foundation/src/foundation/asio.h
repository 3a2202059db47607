#pragma once

// clang-format off
// Asio 1.74 uses std::exchange without including <utility>.
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

/// Coroutine of the request thread that yields a T.
template <class T>
using Task = boost::asio::awaitable<T>;

}  // namespace qp
