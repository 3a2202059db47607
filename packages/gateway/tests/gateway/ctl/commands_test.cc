#include "gateway/ctl/commands.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "gateway/timeline_json.h"

using namespace qp::ctl;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using qp::Error;
using qp::ErrorCode;
using qp::http::Verb;
using trompeloeil::_;

namespace {

using Reply = qp::Result<OperatorReply>;

class TransportMock : public OperatorTransport {
 public:
  MAKE_MOCK2(Exchange, Reply(const std::string&, const OperatorRequest&),
             override);
};

/// File that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text = "") {
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  json Read() const {
    std::ifstream file(this->path);
    return json::parse(file);
  }

  std::string path = std::tmpnam(nullptr);
};

Reply Answer(int status, const json& body) {
  return OperatorReply{status, body.dump()};
}

Reply Failure(ErrorCode code) { return Error{code, "http.write", "a", ""}; }

json Report(const char* status) {
  return {{"status", status}, {"change_id", "4-7"}, {"version", 5}};
}

struct Fixture {
  ExitCode Run(std::vector<std::string> arguments) {
    const auto parsed = ParseCommandLine(arguments, {"a", "b"});
    if (const auto* notice = std::get_if<Notice>(&parsed)) {
      this->err << notice->text;
      return notice->exit_code;
    }
    return RunCommand(std::get<CommandLine>(parsed), this->session);
  }

  TransportMock transport;
  std::ostringstream out;
  std::ostringstream err;
  Session session{transport, out, err, 7};
};

constexpr const char* kPut =
    "/v1/configuration?expected_version=4&change_id=4-0000000000000007";
constexpr const char* kResolve = "/v1/configuration/changes/4-0000000000000007";

}  // namespace

// Guards against scripts that take a change for made or for declined when it
// was not: the exit codes are part of the interface.
TEST_CASE("apply exits with the code of what became of the change",
          "[quetzalpostctl]") {
  Fixture fixture;
  const TemporaryFile file(R"({"version":4,"classes":[]})");
  const auto row = GENERATE(table<int, const char*, ExitCode>(
      {{200, "in_force", ExitCode::kOk},
       {202, "pending", ExitCode::kPending},
       {409, "refused", ExitCode::kRefused},
       {400, "invalid", ExitCode::kRefused},
       {504, "unknown", ExitCode::kUnknown},
       {503, "unavailable", ExitCode::kUnreachable}}));
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .WITH(_2.verb == Verb::put && _2.target == kPut)
      .LR_RETURN(Answer(std::get<0>(row), Report(std::get<1>(row))));
  CHECK(fixture.Run({"apply", file.path}) == std::get<2>(row));
  CHECK(fixture.err.str().find("change id: 4-0000000000000007") == 0);
}

// Guards against the same change being sent twice after its answer was lost.
TEST_CASE("apply resolves a change whose answer was lost", "[quetzalpostctl]") {
  Fixture fixture;
  const TemporaryFile file(R"({"version":4,"classes":[]})");
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .WITH(_2.verb == Verb::put)
      .RETURN(Failure(ErrorCode::kUnknownEffect));
  SECTION("another daemon knows") {
    REQUIRE_CALL(fixture.transport, Exchange("a", _))
        .WITH(_2.verb == Verb::get && _2.target == kResolve)
        .RETURN(Failure(ErrorCode::kUnavailable));
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .WITH(_2.verb == Verb::get && _2.target == kResolve)
        .RETURN(Answer(200, Report("in_force")));
    CHECK(fixture.Run({"apply", file.path}) == ExitCode::kOk);
  }
  SECTION("nobody answers") {
    REQUIRE_CALL(fixture.transport, Exchange(_, _))
        .WITH(_2.verb == Verb::get)
        .TIMES(2)
        .RETURN(Failure(ErrorCode::kUnavailable));
    CHECK(fixture.Run({"apply", file.path}) == ExitCode::kUnknown);
    CHECK(fixture.err.str().find("resolve 4-0000000000000007") !=
          std::string::npos);
  }
}

// Guards against giving up while another daemon could take the change, and
// against overwriting a version that the author of the file never saw.
TEST_CASE("apply goes on only if nothing was sent, and names a version",
          "[quetzalpostctl]") {
  Fixture fixture;
  SECTION("first daemon not reached") {
    const TemporaryFile file(R"({"version":4})");
    REQUIRE_CALL(fixture.transport, Exchange("a", _))
        .RETURN(Failure(ErrorCode::kUnavailable));
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Answer(200, Report("in_force")));
    CHECK(fixture.Run({"apply", file.path}) == ExitCode::kOk);
  }
  SECTION("no version") {
    const TemporaryFile file("{}");
    CHECK(fixture.Run({"apply", file.path}) == ExitCode::kUsage);
  }
  SECTION("option before the file's version") {
    const TemporaryFile file(R"({"version":9})");
    REQUIRE_CALL(fixture.transport, Exchange("a", _))
        .WITH(_2.target == kPut)
        .RETURN(Answer(200, Report("in_force")));
    CHECK(fixture.Run({"apply", "--expected-version", "4", file.path}) ==
          ExitCode::kOk);
  }
}

// Guards against usage errors that reach a daemon, drains above all; the mock
// fails on any exchange.
TEST_CASE("Usage errors exit with 2 and help with 0", "[quetzalpostctl]") {
  Fixture fixture;
  const auto arguments = GENERATE(values<std::vector<std::string>>(
      {{},
       {"stop"},
       {"apply"},
       {"resolve"},
       {"status", "extra"},
       {"status", "--what-if", "x"},
       {"apply", "x", "--expected-version", "-1"},
       {"apply", "/nonexistent", "--expected-version", "1"},
       {"drain", "--daemon", "a", "--daemon", "b"}}));
  CHECK(fixture.Run(arguments) == ExitCode::kUsage);
  CHECK_FALSE(fixture.err.str().empty());
  const auto* command =
      GENERATE("apply", "get", "history", "diff", "status", "forecast",
               "spending", "timeline", "drain", "resolve");
  CHECK(fixture.Run({command, "--help"}) == ExitCode::kOk);
}

// Guards against an error page that is printed as a report.
TEST_CASE("Reads go on to the next daemon and report refusals",
          "[quetzalpostctl]") {
  Fixture fixture;
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .RETURN(Failure(ErrorCode::kUnknownEffect));
  SECTION("answered") {
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Answer(200, json{{"members", {{{"node", "entry-1"}}}}}));
    CHECK(fixture.Run({"status", "--json"}) == ExitCode::kOk);
    CHECK(json::parse(fixture.out.str())["members"][0]["node"] == "entry-1");
  }
  SECTION("refused") {
    const json error = {{"error", {{"message", "no such token"}}}};
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Answer(401, error));
    CHECK(fixture.Run({"status"}) == ExitCode::kRefused);
    CHECK(fixture.err.str() == "error: no such token\n");
    CHECK(fixture.out.str().empty());
  }
  SECTION("nobody") {
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Failure(ErrorCode::kUnavailable));
    CHECK(fixture.Run({"status"}) == ExitCode::kUnreachable);
  }
}

// Guards against a difference that shows version numbers, which the daemon
// assigns, instead of what operators state.
TEST_CASE("diff shows only what operators state", "[quetzalpostctl]") {
  Fixture fixture;
  const TemporaryFile file(R"({"classes":[{"name":"b"}]})");
  const json current = {
      {"version", 4}, {"change_id", "3-1"}, {"classes", {{{"name", "a"}}}}};
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .LR_RETURN(Answer(200, current));
  CHECK(fixture.Run({"diff", file.path, "--json"}) == ExitCode::kOk);
  const auto difference = json::parse(fixture.out.str());
  REQUIRE(difference.size() == 1);
  CHECK(difference[0]["path"] == "/classes/0/name");
}

// Guards against rows that repeat whole configurations.
TEST_CASE("history lists one row for each version", "[quetzalpostctl]") {
  Fixture fixture;
  const json versions = {{{"version", 1}, {"change_id", "0-a"}},
                         {{"version", 2},
                          {"change_id", "1-b"},
                          {"classes", {{{"name", "questions"}}}}}};
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .LR_RETURN(Answer(200, versions));
  CHECK(fixture.Run({"history"}) == ExitCode::kOk);
  const std::string text = fixture.out.str();
  CHECK(std::count(text.begin(), text.end(), '\n') == 3);
  CHECK(text.find("1-b") != std::string::npos);
  CHECK(text.find("questions") == std::string::npos);
}

// Guards against a drain that is sent to a second daemon after its answer was
// lost, or reported as not begun.
TEST_CASE("drain names one daemon and reports a lost answer",
          "[quetzalpostctl]") {
  Fixture fixture;
  const auto drain = std::vector<std::string>{"drain", "--daemon", "c"};
  SECTION("answered") {
    REQUIRE_CALL(fixture.transport, Exchange("c", _))
        .WITH(_2.verb == Verb::post && _2.target == "/v1/drain")
        .RETURN(Answer(202, json{{"status", "draining"}}));
    CHECK(fixture.Run(drain) == ExitCode::kOk);
  }
  SECTION("lost") {
    REQUIRE_CALL(fixture.transport, Exchange("c", _))
        .RETURN(Failure(ErrorCode::kUnknownEffect));
    CHECK(fixture.Run(drain) == ExitCode::kUnknown);
  }
}

// Guards against a what-if that is answered for the targets in force.
TEST_CASE("forecast sends the configuration asked about", "[quetzalpostctl]") {
  Fixture fixture;
  const TemporaryFile file(R"({"classes":[]})");
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .WITH(_2.verb == Verb::post && _2.target == "/v1/forecast" &&
            _2.body == R"({"classes":[]})")
      .RETURN(Answer(200, json{{"total", 12}}));
  CHECK(fixture.Run({"forecast", "--what-if", file.path}) == ExitCode::kOk);
  CHECK(fixture.out.str() == "total  12\n");
}

// Guards against an effect shown before its cause, and against a time line
// that looks whole although a daemon's part is missing.
TEST_CASE("timeline merges all daemons and says which is missing",
          "[quetzalpostctl]") {
  Fixture fixture;
  const qp::Event granted{
      qp::EventId::kBudgetGranted, {1000, 1}, "z", {{"class", "questions"}}};
  const qp::Event received{qp::EventId::kBudgetReceived, {1000, 2}, "a", {}};
  const qp::Event unknown{static_cast<qp::EventId>(9999), {999, 0}, "a", {}};
  REQUIRE_CALL(fixture.transport, Exchange("a", _))
      .LR_RETURN(
          Answer(200, qp::TimelineToJson(std::vector{unknown, received})));
  SECTION("whole") {
    const TemporaryFile trace;
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .LR_RETURN(Answer(200, qp::TimelineToJson(std::vector{granted})));
    CHECK(fixture.Run({"timeline", "--trace", trace.path}) == ExitCode::kOk);
    const json document = trace.Read();
    std::vector<json> instants;
    for (const json& event : document["traceEvents"]) {
      if (event["ph"] == "i") {
        instants.push_back(event);
      }
    }
    REQUIRE(instants.size() == 3);
    CHECK(instants[0]["name"] == "event_9999");
    CHECK(instants[1]["name"] == "budget_granted");
    CHECK(instants[1]["args"]["class"] == "questions");
    CHECK(instants[1]["ts"] == 1000001);
    CHECK(instants[2]["ts"] > instants[1]["ts"]);
    CHECK(instants[2]["pid"] != instants[1]["pid"]);
  }
  SECTION("one is missing") {
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Failure(ErrorCode::kUnavailable));
    CHECK(fixture.Run({"timeline"}) == ExitCode::kUnreachable);
    CHECK(fixture.err.str().find("of b is missing") != std::string::npos);
    CHECK(fixture.out.str().find("budget_received") != std::string::npos);
  }
  SECTION("one is malformed") {
    REQUIRE_CALL(fixture.transport, Exchange("b", _))
        .RETURN(Answer(200, json::array({{{"event", "x"}}})));
    CHECK(fixture.Run({"timeline"}) == ExitCode::kUnreachable);
  }
}
