#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace qp {

/// A validation error in a JSON document.
struct Mistake {
  std::string pointer;   ///< JSON pointer of the value.
  std::string expected;  ///< Description of a valid value.

  bool operator==(const Mistake&) const = default;
};

/// One line per mistake: "<pointer>: expected <expected>".
std::string ToString(const std::vector<Mistake>& mistakes);

/// Reads and validates the members of one JSON object. Collects all mistakes
/// instead of stopping at the first, and reports members that were not read.
/// After a mistake, a method whose name ends in "Or" returns its fallback.
/// String returns an empty string, and Number and Integer return the minimum.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& value, std::string pointer,
             std::vector<Mistake>& mistakes);

  std::string String(const char* key);
  std::string StringOr(const char* key, std::string fallback);
  double Number(const char* key, double minimum, double maximum);
  double NumberOr(const char* key, double minimum, double maximum,
                  double fallback);
  std::uint64_t Integer(const char* key, std::uint64_t minimum,
                        std::uint64_t maximum);
  std::uint64_t IntegerOr(const char* key, std::uint64_t minimum,
                          std::uint64_t maximum, std::uint64_t fallback);
  bool BoolOr(const char* key, bool fallback);

  /// Calls `read` with a JsonReader for each object of a required array.
  template <class Read>
  void Each(const char* key, Read read) {
    const nlohmann::json* array = this->Find(key, "an array", true);
    if (array == nullptr) {
      return;
    }
    if (!array->is_array()) {
      this->Report(key, "an array");
      return;
    }
    std::size_t index = 0;
    for (const auto& element : *array) {
      JsonReader reader(element,
                        this->Pointer(key) + "/" + std::to_string(index++),
                        this->mistakes);
      read(reader);
      reader.Finish();
    }
  }

  /// Calls `read` with a JsonReader for a required member that is an object.
  template <class Read>
  void Object(const char* key, Read read) {
    const nlohmann::json* value = this->Find(key, "an object", true);
    if (value == nullptr) {
      return;
    }
    JsonReader reader(*value, this->Pointer(key), this->mistakes);
    read(reader);
    reader.Finish();
  }

  std::vector<std::string> Strings(const char* key);

  /// Adds the mistake that member `key` is not what `expected` describes.
  void Report(const char* key, std::string expected);
  bool Has(const char* key) const;

  /// Makes Finish accept members that were not read. For messages of systems
  /// that can add members.
  void AllowUnknown() { this->allows_unknown = true; }

  /// Reports all members that were not read as mistakes. Must be called once,
  /// after all reads.
  void Finish();

 private:
  const nlohmann::json* Find(const char* key, const char* expected,
                             bool required);
  std::string Pointer(const char* key) const;

  const nlohmann::json& value;
  std::string pointer;
  std::vector<Mistake>& mistakes;
  std::set<std::string> known;
  bool allows_unknown = false;
};

}  // namespace qp
