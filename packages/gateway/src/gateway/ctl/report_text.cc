#include "gateway/ctl/report_text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <string_view>
#include <vector>

namespace qp::ctl {

namespace {

/// Columns that identify a row stand first, the others follow by name.
constexpr std::array<std::string_view, 6> kLeadingColumns = {
    "time_ms", "node", "name", "class", "version", "op"};

constexpr std::string_view kFieldsColumn = "fields";

/// Numbers from here on are shown without a fraction.
constexpr double kWholeFrom = 1000;
constexpr int kSignificantDigits = 4;

constexpr std::size_t kColumnGap = 2;  // characters

/// Four significant digits, and all digits before the point; the whole number
/// is in the JSON.
std::string NumberText(double number) {
  std::ostringstream text;
  if (std::abs(number) >= kWholeFrom) {
    text << std::fixed << std::setprecision(0) << number;
  } else {
    text << std::setprecision(kSignificantDigits) << number;
  }
  return text.str();
}

std::string CellText(const nlohmann::json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_number_float()) {
    return NumberText(value.get<double>());
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Members of objects inside a row get columns of their own, "outer.inner".
/// The fields of an event differ from row to row and stay one cell.
nlohmann::json Flattened(const nlohmann::json& row) {
  nlohmann::json flat = nlohmann::json::object();
  for (const auto& [name, value] : row.items()) {
    if (!value.is_object() || name == kFieldsColumn) {
      flat[name] = value;
      continue;
    }
    for (const auto& [inner, cell] : value.items()) {
      flat[name + "." + inner] = cell;
    }
  }
  return flat;
}

bool IsTable(const nlohmann::json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const nlohmann::json& row) { return row.is_object(); });
}

std::vector<std::string> ColumnsOf(const nlohmann::json& rows) {
  std::vector<std::string> columns;
  for (const nlohmann::json& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  const auto rank = [](const std::string& name) {
    return std::find(kLeadingColumns.begin(), kLeadingColumns.end(), name);
  };
  std::stable_sort(columns.begin(), columns.end(),
                   [&](const std::string& left, const std::string& right) {
                     return rank(left) < rank(right);
                   });
  return columns;
}

using Row = std::vector<std::string>;

void WriteRows(std::ostream& out, const std::vector<Row>& rows) {
  std::vector<std::size_t> widths(rows.front().size(), 0);
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const Row& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      out << std::left << std::setw(static_cast<int>(widths[i] + kColumnGap))
          << row[i];
    }
    out << row.back() << '\n';
  }
}

void WriteTable(std::ostream& out, const nlohmann::json& report) {
  nlohmann::json items = nlohmann::json::array();
  for (const nlohmann::json& row : report) {
    items.push_back(Flattened(row));
  }
  const std::vector<std::string> columns = ColumnsOf(items);
  if (columns.empty()) {
    return;
  }
  std::vector<Row> rows = {columns};
  for (const nlohmann::json& item : items) {
    Row row;
    for (const std::string& column : columns) {
      const auto cell = item.find(column);
      row.push_back(cell == item.end() ? "-" : CellText(*cell));
    }
    rows.push_back(std::move(row));
  }
  WriteRows(out, rows);
}

void WriteReport(std::ostream& out, const nlohmann::json& report,
                 const std::string& title) {
  if (!title.empty() && report.is_structured()) {
    out << '\n' << title << ":\n";
  }
  if (IsTable(report)) {
    WriteTable(out, report);
    return;
  }
  if (!report.is_object()) {
    out << CellText(report) << '\n';
    return;
  }
  std::vector<Row> scalars;
  for (const auto& [name, value] : report.items()) {
    if (!value.is_object() && !IsTable(value)) {
      scalars.push_back({name, CellText(value)});
    }
  }
  if (!scalars.empty()) {
    WriteRows(out, scalars);
  }
  for (const auto& [name, value] : report.items()) {
    if (value.is_object() || IsTable(value)) {
      WriteReport(out, value, title.empty() ? name : title + "." + name);
    }
  }
}

}  // namespace

std::string ReportText(const nlohmann::json& report) {
  std::ostringstream out;
  WriteReport(out, report, "");
  return out.str();
}

}  // namespace qp::ctl
