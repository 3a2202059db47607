// Test program: one binary for all stand-ins of outside systems.

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>

#include "foundation/asio.h"
#include "foundation/caf_clock.h"
#include "http/server.h"
#include "standins/connection_gate.h"
#include "standins/engine_standin.h"
#include "standins/object_store_standin.h"
#include "standins/service_standin.h"
#include "standins/table_standin.h"
#include "standins/vm_list_standin.h"

// After the library's headers, which bring <utility> first.
#include <boost/asio/signal_set.hpp>

namespace {

using namespace qp::standins;  // NOLINT(google-build-using-namespace)

constexpr const char* kUsage =
    "quetzalpost_standin engine|service|table|object-store|vm-list [OPTIONS]";

struct Config : caf::actor_system_config {
  Config() { this->set("scheduler.max-threads", 1); }
};

std::chrono::milliseconds Millis(const cxxopts::ParseResult& arguments,
                                 const std::string& name) {
  return std::chrono::milliseconds(arguments[name].as<std::uint32_t>());
}

std::uint64_t WallMicros() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("quetzalpost_standin", kUsage);
  auto add = options.add_options();
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  const auto number = [](const char* fallback) {
    return cxxopts::value<std::uint32_t>()->default_value(fallback);
  };
  add("command", "Kind of stand-in", cxxopts::value<std::string>());
  add("listen", "IP:port; port 0 for any", text("127.0.0.1:0"));
  add("executions", "engine, service: file for a copy of the record", text(""));
  add("engine", "engine: unique name", text("engine"));
  add("model", "engine: NAME=LAYERS, the first one is loaded",
      cxxopts::value<std::vector<std::string>>()->default_value("model=8"));
  add("first-layer", "engine: first layer held", number("0"));
  add("last-layer", "engine: last layer held", number("7"));
  add("kind", "engine: kind of accelerator", text("kind"));
  add("zone", "engine: availability zone", text("zone"));
  add("queue", "engine: streams that may wait for a slot", number("64"));
  add("kv-requests", "engine: requests in the KV cache", number("1024"));
  add("layers-per-second", "engine: computing rate, 0 for unlimited",
      cxxopts::value<double>()->default_value("0"));
  add("load-ms", "engine: time to load weights", number("0"));
  add("step-bound-ms", "engine: bound on one stage's step", number("1000"));
  add("service", "service: name", text("service"));
  add("service-ms", "service: time of a call", number("0"));
  add("slots", "engine, service: work that runs at once", number("64"));
  add("writes-per-second", "table: limit, 0 for none", number("0"));
  add("lag-ms", "vm-list: from a PUT to its visibility", number("0"));
  add("help", "Print this text");
  options.parse_positional({"command"});
  return options;
}

EngineOptions ReadEngine(const cxxopts::ParseResult& arguments) {
  EngineOptions options;
  options.engine = arguments["engine"].as<std::string>();
  options.kind = arguments["kind"].as<std::string>();
  options.zone = arguments["zone"].as<std::string>();
  for (const auto& model : arguments["model"].as<std::vector<std::string>>()) {
    const auto separator = model.find('=');
    if (separator == std::string::npos) {
      throw std::invalid_argument("--model needs the form NAME=LAYERS");
    }
    const std::string name = model.substr(0, separator);
    options.models[name] = std::stoul(model.substr(separator + 1));
    options.model = options.model.empty() ? name : options.model;
  }
  options.layers = {arguments["first-layer"].as<std::uint32_t>(),
                    arguments["last-layer"].as<std::uint32_t>()};
  options.slots = arguments["slots"].as<std::uint32_t>();
  options.queue = arguments["queue"].as<std::uint32_t>();
  options.kv_requests = arguments["kv-requests"].as<std::uint32_t>();
  options.layers_per_second = arguments["layers-per-second"].as<double>();
  options.load_time = Millis(arguments, "load-ms");
  options.step_bound = Millis(arguments, "step-bound-ms");
  options.incarnation = WallMicros();
  return options;
}

std::unique_ptr<Standin> MakeStandin(const cxxopts::ParseResult& arguments,
                                     qp::asio::io_context& io,
                                     qp::Clock& clock) {
  const auto command = arguments["command"].as<std::string>();
  if (command == "engine") {
    return std::make_unique<EngineStandin>(io, clock, ReadEngine(arguments));
  }
  if (command == "service") {
    ServiceOptions options;
    options.service = arguments["service"].as<std::string>();
    options.slots = arguments["slots"].as<std::uint32_t>();
    options.service_time = Millis(arguments, "service-ms");
    options.incarnation = WallMicros();
    return std::make_unique<ServiceStandin>(clock, options);
  }
  if (command == "table") {
    const TableOptions options{
        arguments["writes-per-second"].as<std::uint32_t>()};
    return std::make_unique<TableStandin>(clock, options);
  }
  if (command == "object-store") {
    return std::make_unique<ObjectStoreStandin>(clock);
  }
  if (command == "vm-list") {
    const VmListOptions options{Millis(arguments, "lag-ms")};
    return std::make_unique<VmListStandin>(clock, options);
  }
  throw std::invalid_argument("unknown command " + command);
}

int Run(const cxxopts::ParseResult& arguments) {
  Config config;
  caf::actor_system system(config);
  qp::CafClock clock(system);
  qp::asio::io_context io;
  const auto standin = MakeStandin(arguments, io, clock);
  const auto executions = arguments["executions"].as<std::string>();
  if (!executions.empty() && !standin->WriteExecutionsTo(executions)) {
    throw std::runtime_error("cannot write " + executions);
  }
  qp::http::ServerLimits limits;
  limits.max_body_bytes = 64 * 1024 * 1024;  // Exported KV caches are large.
  qp::http::Server server(io, clock, limits, *standin);
  ConnectionGate gate(io);
  standin->OnSwitches([&gate](const Switches& before, const Switches& after) {
    gate.SetDown(after.down);
    if (after.silent && !before.silent) {
      gate.SilenceOpenConnections();
    }
  });
  const auto inner = server.Listen("127.0.0.1:0");
  if (!inner) {
    throw std::runtime_error(ToString(inner.error()));
  }
  const auto address = arguments["listen"].as<std::string>();
  const auto port = gate.Listen(address, inner.value());
  if (!port) {
    throw std::runtime_error(ToString(port.error()));
  }
  std::cout << "listening " << address.substr(0, address.rfind(':') + 1)
            << port.value() << std::endl;
  qp::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](const auto&, int) {
    // Nothing is kept, so requests in flight need no orderly end.
    std::quick_exit(0);
  });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  auto options = MakeOptions();
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0 || arguments.count("command") == 0) {
      std::cout << options.help();
      return arguments.count("help") != 0 ? 0 : 2;
    }
    return Run(arguments);
  } catch (const std::exception& failure) {
    std::cerr << "quetzalpost_standin: " << failure.what() << std::endl;
    return 2;
  }
}
