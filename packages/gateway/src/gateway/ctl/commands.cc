#include "gateway/ctl/commands.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "foundation/timeline.h"
#include "gateway/ctl/report_text.h"
#include "gateway/ctl/trace.h"
#include "gateway/responses.h"
#include "gateway/timeline_json.h"
#include "gateway/url.h"
#include "storage/configuration_store.h"

namespace qp::ctl {

namespace {

constexpr int kFirstErrorStatus = 400;   // HTTP
constexpr int kFirstServerStatus = 500;  // HTTP
constexpr int kJsonIndent = 2;           // characters

std::optional<nlohmann::json> ReadJsonFile(const std::string& path,
                                           std::ostream& err) {
  std::ifstream file(path);
  if (!file) {
    err << "error: cannot read " << path << '\n';
    return std::nullopt;
  }
  nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
  if (document.is_discarded()) {
    err << "error: " << path << " is not valid JSON\n";
    return std::nullopt;
  }
  return document;
}

void Print(const CommandLine& line, Session& session,
           const nlohmann::json& report) {
  if (line.json) {
    session.out << report.dump(kJsonIndent) << '\n';
  } else {
    session.out << ReportText(report);
  }
}

ExitCode CodeOf(const Error& error) {
  if (error.code == ErrorCode::kInvalidArgument) {
    return ExitCode::kUsage;
  }
  return error.code == ErrorCode::kUnknownEffect ? ExitCode::kUnknown
                                                 : ExitCode::kUnreachable;
}

ExitCode Fail(Session& session, const Error& error) {
  session.err << "error: " << ToString(error) << '\n';
  return CodeOf(error);
}

std::string MessageOf(const OperatorReply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  const bool has_message =
      body.is_object() && body.contains("error") && body["error"].is_object() &&
      body["error"].contains("message") && body["error"]["message"].is_string();
  return has_message ? body["error"]["message"].get<std::string>()
                     : "status " + std::to_string(reply.status);
}

ExitCode FailReply(Session& session, const OperatorReply& reply) {
  session.err << "error: " << MessageOf(reply) << '\n';
  return reply.status >= kFirstServerStatus ? ExitCode::kUnreachable
                                            : ExitCode::kRefused;
}

/// Whether a request has no effect, so that it may be sent again.
bool IsRead(const OperatorRequest& request) {
  return request.verb == http::Verb::get || request.target == "/v1/forecast";
}

ExitCode FailExchange(Session& session, const OperatorRequest& request,
                      const Error& error) {
  const ExitCode code = Fail(session, error);
  return code == ExitCode::kUnknown && IsRead(request) ? ExitCode::kUnreachable
                                                       : code;
}

/// First answer of the daemons, in order; the last error if none answers.
Result<OperatorReply> Exchange(const CommandLine& line, Session& session,
                               const OperatorRequest& request) {
  Result<OperatorReply> reply = Error{};
  for (const std::string& daemon : line.daemons) {
    reply = session.transport.Exchange(daemon, request);
    const bool may_go_on =
        !reply &&
        (IsRead(request) || reply.error().code == ErrorCode::kUnavailable);
    if (!may_go_on) {
      break;
    }
  }
  return reply;
}

/// The JSON document that answers a request, or the exit code without one.
struct Fetched {
  ExitCode code = ExitCode::kOk;
  nlohmann::json report;
};

Fetched Fetch(const CommandLine& line, Session& session,
              const OperatorRequest& request) {
  const Result<OperatorReply> reply = Exchange(line, session, request);
  if (!reply) {
    return {FailExchange(session, request, reply.error()), nullptr};
  }
  if (reply.value().status >= kFirstErrorStatus) {
    return {FailReply(session, reply.value()), nullptr};
  }
  auto report = nlohmann::json::parse(reply.value().body, nullptr, false);
  if (report.is_discarded()) {
    session.err << "error: the daemon's answer is not valid JSON\n";
    return {ExitCode::kUnreachable, nullptr};
  }
  return {ExitCode::kOk, std::move(report)};
}

ExitCode ShowReport(const CommandLine& line, Session& session,
                    const OperatorRequest& request) {
  const Fetched fetched = Fetch(line, session, request);
  if (fetched.code == ExitCode::kOk) {
    Print(line, session, fetched.report);
  }
  return fetched.code;
}

ExitCode Show(const CommandLine& line, Session& session, std::string target) {
  return ShowReport(line, session, {http::Verb::get, std::move(target), ""});
}

ExitCode CodeOfChange(std::string_view status) {
  if (status == "in_force") {
    return ExitCode::kOk;
  }
  if (status == "pending") {
    return ExitCode::kPending;
  }
  if (status == "refused" || status == "invalid") {
    return ExitCode::kRefused;
  }
  return status == "unavailable" ? ExitCode::kUnreachable : ExitCode::kUnknown;
}

/// Prints a change report, or the error that the daemon answered instead.
ExitCode ShowChange(const CommandLine& line, Session& session,
                    const OperatorReply& reply) {
  const auto report = nlohmann::json::parse(reply.body, nullptr, false);
  const bool is_report = report.is_object() && report.contains("status") &&
                         report["status"].is_string();
  if (!is_report) {
    return FailReply(session, reply);
  }
  Print(line, session, report);
  return CodeOfChange(report["status"].get_ref<const std::string&>());
}

ExitCode Resolve(const CommandLine& line, Session& session,
                 const std::string& change_id) {
  const OperatorRequest request{
      http::Verb::get, "/v1/configuration/changes/" + UrlEncode(change_id), ""};
  const Result<OperatorReply> reply = Exchange(line, session, request);
  if (!reply) {
    return FailExchange(session, request, reply.error());
  }
  return ShowChange(line, session, reply.value());
}

/// The answer to a change was lost: reads what became of it.
ExitCode ResolveLost(const CommandLine& line, Session& session,
                     const std::string& change_id, const Error& error) {
  session.err << "warning: " << ToString(error)
              << "; reading what became of the change\n";
  const ExitCode code = Resolve(line, session, change_id);
  const bool resolved = code == ExitCode::kOk || code == ExitCode::kPending ||
                        code == ExitCode::kRefused;
  if (resolved) {
    return code;
  }
  session.err << "The change may have been accepted. Run \"quetzalpostctl "
                 "resolve "
              << change_id << "\" later.\n";
  return ExitCode::kUnknown;
}

std::optional<std::uint64_t> ExpectedVersion(const CommandLine& line,
                                             const nlohmann::json& document) {
  if (line.expected_version) {
    return line.expected_version;
  }
  const bool has_version = document.is_object() &&
                           document.contains("version") &&
                           document["version"].is_number_unsigned();
  if (!has_version) {
    return std::nullopt;
  }
  return document["version"].get<std::uint64_t>();
}

ExitCode Apply(const CommandLine& line, Session& session) {
  const auto document = ReadJsonFile(line.file, session.err);
  if (!document) {
    return ExitCode::kUsage;
  }
  const auto version = ExpectedVersion(line, *document);
  if (!version) {
    session.err << "error: " << line.file
                << " has no \"version\"; give --expected-version, 0 for the "
                   "first configuration\n";
    return ExitCode::kUsage;
  }
  const std::string change_id =
      ConfigurationStore::MakeChangeId(*version, session.random);
  // Printed before the change is sent, so that it can be resolved even if
  // this process ends before the answer.
  session.err << "change id: " << change_id << '\n';
  const OperatorRequest request{
      http::Verb::put,
      "/v1/configuration?expected_version=" + std::to_string(*version) +
          "&change_id=" + UrlEncode(change_id),
      Dump(*document)};
  const Result<OperatorReply> reply = Exchange(line, session, request);
  if (reply) {
    return ShowChange(line, session, reply.value());
  }
  if (CodeOf(reply.error()) == ExitCode::kUnknown) {
    return ResolveLost(line, session, change_id, reply.error());
  }
  return Fail(session, reply.error());
}

/// The part of a configuration that operators state.
nlohmann::json StatedPart(nlohmann::json document) {
  if (document.is_object()) {
    document.erase("version");
    document.erase("change_id");
  }
  return document;
}

ExitCode Diff(const CommandLine& line, Session& session) {
  const auto wanted = ReadJsonFile(line.file, session.err);
  if (!wanted) {
    return ExitCode::kUsage;
  }
  const Fetched current =
      Fetch(line, session, {http::Verb::get, "/v1/configuration", ""});
  if (current.code != ExitCode::kOk) {
    return current.code;
  }
  const nlohmann::json difference =
      nlohmann::json::diff(StatedPart(current.report), StatedPart(*wanted));
  if (difference.empty() && !line.json) {
    session.out << "no difference\n";
    return ExitCode::kOk;
  }
  Print(line, session, difference);
  return ExitCode::kOk;
}

ExitCode Get(const CommandLine& line, Session& session) {
  CommandLine as_json = line;
  // The output is meant to be edited and applied again.
  as_json.json = true;
  return Show(as_json, session, "/v1/configuration");
}

/// One row for each version; the whole versions are in the JSON.
nlohmann::json HistoryRows(const nlohmann::json& versions) {
  nlohmann::json rows = nlohmann::json::array();
  for (const nlohmann::json& version : versions) {
    nlohmann::json row = {{"version", version.value("version", 0)},
                          {"change_id", version.value("change_id", "")}};
    for (const char* list : {"classes", "models", "kinds", "workspaces"}) {
      const auto items = version.find(list);
      row[list] = items == version.end() ? 0 : items->size();
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

ExitCode History(const CommandLine& line, Session& session) {
  const Fetched versions =
      Fetch(line, session, {http::Verb::get, "/v1/configuration/history", ""});
  if (versions.code == ExitCode::kOk) {
    Print(line, session,
          line.json ? versions.report : HistoryRows(versions.report));
  }
  return versions.code;
}

ExitCode Forecast(const CommandLine& line, Session& session) {
  OperatorRequest request{http::Verb::post, "/v1/forecast", ""};
  if (!line.what_if_file.empty()) {
    const auto what_if = ReadJsonFile(line.what_if_file, session.err);
    if (!what_if) {
      return ExitCode::kUsage;
    }
    request.body = Dump(*what_if);
  }
  return ShowReport(line, session, request);
}

Result<std::vector<Event>> FetchTimeline(Session& session,
                                         const std::string& daemon) {
  const OperatorRequest request{http::Verb::get, "/v1/timeline", ""};
  const Result<OperatorReply> reply =
      session.transport.Exchange(daemon, request);
  if (!reply) {
    return reply.error();
  }
  if (reply.value().status >= kFirstErrorStatus) {
    const ErrorCode code = reply.value().status >= kFirstServerStatus
                               ? ErrorCode::kUnavailable
                               : ErrorCode::kRefused;
    return Error{code, "timeline.fetch", daemon, MessageOf(reply.value())};
  }
  return ReadTimeline(
      nlohmann::json::parse(reply.value().body, nullptr, false));
}

ExitCode WriteTrace(const CommandLine& line, Session& session,
                    const std::vector<Event>& events) {
  std::ofstream file(line.trace_file);
  file << Dump(TraceViewerJson(events)) << '\n';
  file.close();
  if (!file) {
    session.err << "error: cannot write " << line.trace_file << '\n';
    return ExitCode::kUsage;
  }
  return ExitCode::kOk;
}

ExitCode ShowTimeline(const CommandLine& line, Session& session) {
  std::vector<std::vector<Event>> timelines;
  ExitCode code = ExitCode::kOk;
  for (const std::string& daemon : line.daemons) {
    auto timeline = FetchTimeline(session, daemon);
    if (timeline) {
      timelines.push_back(std::move(timeline).value());
      continue;
    }
    session.err << "warning: the time line of " << daemon
                << " is missing: " << ToString(timeline.error()) << '\n';
    code = timeline.error().code == ErrorCode::kRefused
               ? ExitCode::kRefused
               : ExitCode::kUnreachable;
  }
  if (timelines.empty()) {
    return code;
  }
  const std::vector<Event> events = MergeTimelines(std::move(timelines));
  if (line.trace_file.empty()) {
    Print(line, session, TimelineToJson(events));
    return code;
  }
  const ExitCode written = WriteTrace(line, session, events);
  return written == ExitCode::kOk ? code : written;
}

}  // namespace

ExitCode RunCommand(const CommandLine& line, Session& session) {
  switch (line.command) {
    case Command::kApply:
      return Apply(line, session);
    case Command::kGet:
      return Get(line, session);
    case Command::kHistory:
      return History(line, session);
    case Command::kDiff:
      return Diff(line, session);
    case Command::kStatus:
      return Show(line, session, "/v1/status");
    case Command::kForecast:
      return Forecast(line, session);
    case Command::kSpending:
      return Show(line, session, "/v1/spending");
    case Command::kTimeline:
      return ShowTimeline(line, session);
    case Command::kDrain:
      return ShowReport(line, session, {http::Verb::post, "/v1/drain", ""});
    case Command::kResolve:
      return Resolve(line, session, line.change_id);
  }
  return ExitCode::kUsage;
}

}  // namespace qp::ctl
