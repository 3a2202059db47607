#include "standins/switches.h"

namespace qp::standins {

namespace {

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

Duration ReadMillis(const nlohmann::json& document, const char* key) {
  return std::chrono::milliseconds(document.at(key).get<std::uint32_t>());
}

}  // namespace

nlohmann::json ToJson(const Switches& switches) {
  return {{"down", switches.down},
          {"lose_answer", switches.lose_answer},
          {"silent", switches.silent},
          {"leaving", switches.leaving},
          {"ignore_fence", switches.ignore_fence},
          {"kv_export_fails", switches.kv_export_fails},
          {"delay_ms", Millis(switches.delay)},
          {"load_lag_ms", Millis(switches.load_lag)},
          {"token_delay_ms", Millis(switches.token_delay)}};
}

Switches Changed(const Switches& switches, const nlohmann::json& document) {
  nlohmann::json merged = ToJson(switches);
  for (const auto& [key, value] : document.items()) {
    merged.at(key) = value;
  }
  Switches changed;
  merged.at("down").get_to(changed.down);
  merged.at("lose_answer").get_to(changed.lose_answer);
  merged.at("silent").get_to(changed.silent);
  merged.at("leaving").get_to(changed.leaving);
  merged.at("ignore_fence").get_to(changed.ignore_fence);
  merged.at("kv_export_fails").get_to(changed.kv_export_fails);
  changed.delay = ReadMillis(merged, "delay_ms");
  changed.load_lag = ReadMillis(merged, "load_lag_ms");
  changed.token_delay = ReadMillis(merged, "token_delay_ms");
  return changed;
}

}  // namespace qp::standins
