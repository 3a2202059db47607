#include "relay/admission/admission_report_codec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

namespace qp::relay {

namespace {

using admission::RetrySchedule;

// Layout of one report. Arrays keep it short: a report of three classes and
// eight workspaces takes about 150 bytes.
using ClassRow = std::tuple<int, float>;
using ReservedRow = std::tuple<int, std::vector<std::uint16_t>>;
using WorkspaceRow = std::tuple<std::uint32_t, std::uint32_t>;
using ServiceRow =
    std::tuple<std::string, std::vector<ClassRow>, std::vector<ReservedRow>,
               std::vector<WorkspaceRow>>;

ServiceRow ToRow(const AdmissionReport& admission) {
  std::vector<ClassRow> classes;
  for (const auto& rate : admission.report.admitted) {
    classes.emplace_back(rate.priority, static_cast<float>(rate.per_second));
  }
  std::vector<ReservedRow> reserved;
  for (const auto& of_class : admission.report.reserved) {
    reserved.emplace_back(of_class.priority,
                          std::vector<std::uint16_t>(of_class.places.begin(),
                                                     of_class.places.end()));
  }
  std::vector<WorkspaceRow> workspaces;
  for (const auto& entry : admission.report.workspaces) {
    workspaces.emplace_back(entry.workspace, entry.tokens);
  }
  return {admission.service, std::move(classes), std::move(reserved),
          std::move(workspaces)};
}

AdmissionReport FromRow(const ServiceRow& row) {
  const auto& [service, classes, reserved, workspaces] = row;
  AdmissionReport admission{service, {}};
  for (const auto& [priority, per_second] : classes) {
    admission.report.admitted.push_back({priority, per_second});
  }
  for (const auto& [priority, places] : reserved) {
    if (places.size() != RetrySchedule::kSlots) {
      throw msgpack::type_error();
    }
    RetrySchedule::Reserved of_class;
    of_class.priority = priority;
    std::copy(places.begin(), places.end(), of_class.places.begin());
    admission.report.reserved.push_back(of_class);
  }
  for (const auto& [workspace, tokens] : workspaces) {
    admission.report.workspaces.push_back({workspace, tokens});
  }
  return admission;
}

}  // namespace

void PackAdmission(msgpack::packer<msgpack::sbuffer>& packer,
                   const std::vector<AdmissionReport>& reports) {
  packer.pack_array(static_cast<std::uint32_t>(reports.size()));
  for (const auto& report : reports) {
    packer.pack(ToRow(report));
  }
}

std::vector<AdmissionReport> DecodeAdmission(const msgpack::object& object) {
  std::vector<AdmissionReport> reports;
  for (const auto& row : object.as<std::vector<ServiceRow>>()) {
    reports.push_back(FromRow(row));
  }
  return reports;
}

}  // namespace qp::relay
