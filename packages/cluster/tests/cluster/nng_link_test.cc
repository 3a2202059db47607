#include "cluster/nng_link.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "foundation/asio.h"
#include "testing/test_runtime.h"

namespace qp {
namespace {

using testing::TestRuntime;
using namespace std::chrono_literals;

/// A loopback address with a port that was free at the time of the call.
std::string FreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Collects the messages that a link receives.
class Inbox {
 public:
  explicit Inbox(NngLink& link) {
    link.SetReceiver([this](std::string_view message) {
      std::lock_guard lock(this->mutex);
      this->messages.emplace_back(message);
    });
  }

  std::vector<std::string> Messages() const {
    std::lock_guard lock(this->mutex);
    return this->messages;
  }

 private:
  mutable std::mutex mutex;
  std::vector<std::string> messages;
};

constexpr int kMaxPolls = 3000;  // 10 ms apart

/// Polls `condition` until it holds, since nng delivers messages on its own
/// threads. Gives up after kMaxPolls, so that a fault fails the test instead of
/// blocking it.
bool Eventually(const std::function<bool()>& condition) {
  for (int poll = 0; poll < kMaxPolls; ++poll) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

// Guards against messages that are lost or damaged on a healthy connection.
TEST_CASE("links exchange messages over TCP", "[cluster][nng]") {
  TestRuntime runtime;
  const std::string left_address = FreeAddress();
  const std::string right_address = FreeAddress();
  auto left = NngLink::Open(left_address, runtime.clock()).value();
  auto right = NngLink::Open(right_address, runtime.clock()).value();
  Inbox left_inbox(*left);
  Inbox right_inbox(*right);

  left->Send(right_address, "hello");
  right->Send(left_address, std::string(64 * 1024, 'x'));
  CHECK(Eventually([&] { return right_inbox.Messages().size() == 1; }));
  CHECK(Eventually([&] { return left_inbox.Messages().size() == 1; }));
  CHECK(right_inbox.Messages() == std::vector<std::string>{"hello"});
  CHECK(left_inbox.Messages() ==
        std::vector<std::string>{std::string(64 * 1024, 'x')});
}

// Guards against a sender that blocks, or queues messages without limit, for a
// peer that does not accept them.
TEST_CASE("messages to an absent peer are dropped once the queue is full",
          "[cluster][nng]") {
  TestRuntime runtime;
  auto link = NngLink::Open(FreeAddress(), runtime.clock()).value();
  const std::string absent = FreeAddress();
  for (int index = 0; index < 1000; ++index) {
    link->Send(absent, "news");
  }
  CHECK(link->counters().sent <= NngLink::kSendQueueCapacity + 2);
  CHECK(link->counters().sent + link->counters().dropped == 1000);
}

// Guards against sending a message that peers would reject because of its
// length.
TEST_CASE("a message that is too long is dropped", "[cluster][nng]") {
  TestRuntime runtime;
  auto link = NngLink::Open(FreeAddress(), runtime.clock()).value();
  link->Send(FreeAddress(), std::string(64 * 1024 + 1, 'x'));
  CHECK(link->counters().dropped == 1);
}

// Guards against a failed listen that is reported as a working link.
TEST_CASE("opening a link on an address in use fails", "[cluster][nng]") {
  TestRuntime runtime;
  const std::string address = FreeAddress();
  auto first = NngLink::Open(address, runtime.clock()).value();
  CHECK_FALSE(NngLink::Open(address, runtime.clock()).has_value());
}

/// Forwards TCP connections to a target. Connections made before Freeze() stay
/// open but carry no more data; later ones work.
class FreezingProxy {
 public:
  FreezingProxy(std::string address, std::string target_address)
      : listen_address(std::move(address)),
        target(std::move(target_address)),
        acceptor(this->context, Parse(this->listen_address)),
        thread([this] {
          this->Accept();
          this->context.run();
        }) {}

  ~FreezingProxy() {
    this->context.stop();
    this->thread.join();
  }

  FreezingProxy(const FreezingProxy&) = delete;
  FreezingProxy& operator=(const FreezingProxy&) = delete;

  void Freeze() { ++this->epoch; }
  int connections() const { return this->accepted; }

 private:
  using Socket = asio::ip::tcp::socket;

  static asio::ip::tcp::endpoint Parse(const std::string& address) {
    const auto colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
  }

  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code failure, Socket socket) {
          if (failure) {
            return;
          }
          ++this->accepted;
          auto client = std::make_shared<Socket>(std::move(socket));
          auto server = std::make_shared<Socket>(this->context);
          boost::system::error_code connect_error;
          server->connect(Parse(this->target), connect_error);
          this->sockets.push_back(client);
          this->sockets.push_back(server);
          if (!connect_error) {
            this->Forward(client, server, this->epoch);
            this->Forward(server, client, this->epoch);
          }
          this->Accept();
        });
  }

  void Forward(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
               int created_epoch) {
    auto buffer = std::make_shared<std::vector<char>>(65536);
    from->async_read_some(
        asio::buffer(*buffer),
        [=, this](boost::system::error_code failure, std::size_t count) {
          if (failure || created_epoch != this->epoch) {
            return;
          }
          boost::system::error_code write_error;
          asio::write(*to, asio::buffer(buffer->data(), count), write_error);
          this->Forward(from, to, created_epoch);
        });
  }

  std::string listen_address;
  std::string target;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::vector<std::shared_ptr<Socket>> sockets;
  std::atomic<int> epoch = 0;
  std::atomic<int> accepted = 0;
  std::thread thread;
};

// Guards against a connection that stays open but carries no more data while
// new connections to the same peer work.
TEST_CASE("a connection that stopped carrying data is replaced by a new one",
          "[cluster][nng]") {
  TestRuntime runtime;
  const std::string left_address = FreeAddress();
  const std::string right_address = FreeAddress();
  auto left = NngLink::Open(left_address, runtime.clock()).value();
  auto right = NngLink::Open(right_address, runtime.clock()).value();
  const std::string proxy_address = FreeAddress();
  FreezingProxy proxy(proxy_address, right_address);
  Inbox right_inbox(*right);

  left->Send(proxy_address, "before");
  REQUIRE(Eventually([&] { return right_inbox.Messages().size() == 1; }));
  proxy.Freeze();
  left->Send(proxy_address, "swallowed");
  runtime.Advance(NngLink::kSilenceTimeout, 100ms);
  left->Send(proxy_address, "after");
  CHECK(Eventually([&] { return right_inbox.Messages().size() == 2; }));
  CHECK(right_inbox.Messages().back() == "after");
  CHECK(left->counters().reconnects == 1);
  CHECK(proxy.connections() == 2);
}

// Guards against a direction that stays silent because only the receiving side
// can detect it: the sender must follow the receiver's request to reconnect.
TEST_CASE("a silent peer reconnects when asked", "[cluster][nng]") {
  TestRuntime runtime;
  const std::string left_address = FreeAddress();
  const std::string right_address = FreeAddress();
  auto left = NngLink::Open(left_address, runtime.clock()).value();
  auto right = NngLink::Open(right_address, runtime.clock()).value();
  Inbox left_inbox(*left);
  Inbox right_inbox(*right);
  right->Send(left_address, "one");
  REQUIRE(Eventually([&] { return left_inbox.Messages().size() == 1; }));
  left->Send(right_address, "two");
  REQUIRE(Eventually([&] { return right_inbox.Messages().size() == 1; }));
  runtime.Advance(NngLink::kSilenceTimeout, 100ms);
  left->Send(right_address, "three");  // asks right to reconnect
  REQUIRE(Eventually([&] { return right_inbox.Messages().size() == 2; }));
  CHECK(right->counters().reconnects == 1);
}

}  // namespace
}  // namespace qp
