#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "standins/standin.h"

namespace qp::standins {

/// Counts events and their greatest number within one second of the clock.
class RateCount {
 public:
  void Add(TimePoint now);
  std::uint64_t total() const { return this->count; }
  std::uint64_t peak() const { return this->greatest; }
  /// Number in the second that has begun last.
  std::uint64_t InSecondOf(TimePoint now) const;

 private:
  std::uint64_t count = 0;
  std::uint64_t greatest = 0;
  std::uint64_t in_second = 0;
  std::int64_t second = 0;
};

struct TableOptions {
  std::uint64_t writes_per_second = 0;  ///< More get 503; 0: unlimited.
};

/// Transactional table service. `all` applies every operation or none; `each`
/// applies each by its own condition and counts as one write. Versions come
/// from one counter, so that an item written anew never has an old version.
class TableStandin : public Standin {
 public:
  TableStandin(Clock& clock, TableOptions options);

 protected:
  Task<void> Serve(http::Request request, http::Responder& responder) override;
  nlohmann::json Record(std::size_t since) const override;

 private:
  struct Item {
    nlohmann::json value;
    std::uint64_t version = 0;
  };
  struct Operation {
    std::string key;
    std::optional<nlohmann::json> put;  ///< Empty: delete.
    nlohmann::json condition;           ///< Null: unconditional.
  };

  http::Response Transact(const nlohmann::json& body);
  http::Response Read(const std::string& key);
  http::Response Scan(const std::string& prefix);
  static Operation ReadOperation(const nlohmann::json& document);
  bool Holds(const Operation& operation) const;
  void Apply(const Operation& operation);
  std::uint64_t VersionOf(const std::string& key) const;

  TableOptions options;
  std::map<std::string, Item> items;
  std::uint64_t last_version = 0;
  RateCount writes;
  RateCount reads;
};

}  // namespace qp::standins
