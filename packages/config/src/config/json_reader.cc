#include "config/json_reader.h"

#include <cmath>
#include <sstream>

namespace qp {

namespace {

std::string FormatRange(std::string_view type, double minimum, double maximum) {
  std::ostringstream text;
  text << type << " from " << minimum << " to " << maximum;
  return text.str();
}

}  // namespace

std::string ToString(const std::vector<Mistake>& mistakes) {
  std::string text;
  for (const Mistake& mistake : mistakes) {
    text += (mistake.pointer.empty() ? "/" : mistake.pointer) + ": expected " +
            mistake.expected + "\n";
  }
  return text;
}

JsonReader::JsonReader(const nlohmann::json& object, std::string at,
                       std::vector<Mistake>& found)
    : value(object), pointer(std::move(at)), mistakes(found) {
  if (!this->value.is_object()) {
    this->mistakes.push_back({this->pointer, "an object"});
  }
}

const nlohmann::json* JsonReader::Find(const char* key, const char* expected,
                                       bool required) {
  this->known.insert(key);
  if (!this->value.is_object()) {
    return nullptr;
  }
  const auto found = this->value.find(key);
  if (found != this->value.end()) {
    return &*found;
  }
  if (required) {
    this->Report(key, expected);
  }
  return nullptr;
}

std::string JsonReader::String(const char* key) {
  const auto* member = this->Find(key, "a non-empty string", true);
  if (member == nullptr) {
    return {};
  }
  if (!member->is_string() || member->get_ref<const std::string&>().empty()) {
    this->Report(key, "a non-empty string");
    return {};
  }
  return member->get<std::string>();
}

std::string JsonReader::StringOr(const char* key, std::string fallback) {
  const auto* member = this->Find(key, "a string", false);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_string()) {
    this->Report(key, "a string");
    return fallback;
  }
  return member->get<std::string>();
}

double JsonReader::Number(const char* key, double minimum, double maximum) {
  const auto* member = this->Find(key, "a number", true);
  return member == nullptr ? minimum
                           : this->NumberOr(key, minimum, maximum, minimum);
}

double JsonReader::NumberOr(const char* key, double minimum, double maximum,
                            double fallback) {
  const auto* member = this->Find(key, "a number", false);
  if (member == nullptr) {
    return fallback;
  }
  const double number = member->is_number() ? member->get<double>() : NAN;
  if (!(number >= minimum && number <= maximum)) {
    this->Report(key, FormatRange("a number", minimum, maximum));
    return fallback;
  }
  return number;
}

std::uint64_t JsonReader::Integer(const char* key, std::uint64_t minimum,
                                  std::uint64_t maximum) {
  const auto* member = this->Find(key, "an integer", true);
  return member == nullptr ? minimum
                           : this->IntegerOr(key, minimum, maximum, minimum);
}

std::uint64_t JsonReader::IntegerOr(const char* key, std::uint64_t minimum,
                                    std::uint64_t maximum,
                                    std::uint64_t fallback) {
  const auto* member = this->Find(key, "an integer", false);
  if (member == nullptr) {
    return fallback;
  }
  const bool valid = member->is_number_unsigned() &&
                     member->get<std::uint64_t>() >= minimum &&
                     member->get<std::uint64_t>() <= maximum;
  if (!valid) {
    this->Report(key, FormatRange("an integer", static_cast<double>(minimum),
                                  static_cast<double>(maximum)));
    return fallback;
  }
  return member->get<std::uint64_t>();
}

bool JsonReader::BoolOr(const char* key, bool fallback) {
  const auto* member = this->Find(key, "true or false", false);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    this->Report(key, "true or false");
    return fallback;
  }
  return member->get<bool>();
}

std::vector<std::string> JsonReader::Strings(const char* key) {
  std::vector<std::string> strings;
  const auto* array = this->Find(key, "an array of strings", true);
  if (array == nullptr) {
    return strings;
  }
  if (!array->is_array()) {
    this->Report(key, "an array of strings");
    return strings;
  }
  std::size_t index = 0;
  for (const auto& element : *array) {
    if (element.is_string()) {
      strings.push_back(element.get<std::string>());
    } else {
      this->mistakes.push_back(
          {this->Pointer(key) + "/" + std::to_string(index), "a string"});
    }
    ++index;
  }
  return strings;
}

void JsonReader::Report(const char* key, std::string expected) {
  this->mistakes.push_back({this->Pointer(key), std::move(expected)});
}

bool JsonReader::Has(const char* key) const {
  return this->value.is_object() && this->value.contains(key);
}

void JsonReader::Finish() {
  if (this->allows_unknown || !this->value.is_object()) {
    return;
  }
  for (const auto& [key, member] : this->value.items()) {
    if (!this->known.contains(key)) {
      this->mistakes.push_back(
          {this->Pointer(key.c_str()), "no such member; the key is unknown"});
    }
  }
}

std::string JsonReader::Pointer(const char* key) const {
  nlohmann::json::json_pointer member;
  member.push_back(key);
  return this->pointer + member.to_string();
}

}  // namespace qp
