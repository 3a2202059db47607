#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace qp::ctl {

/// Tables for people: scalars of an object one a line, arrays of objects as
/// tables with a column for each member.
std::string ReportText(const nlohmann::json& report);

}  // namespace qp::ctl
