#pragma once

#include <string>

#include "foundation/clock.h"
#include "storage/table.h"

namespace qp::http {
class Client;
}  // namespace qp::http

namespace qp {

/// The table service over HTTP.
class HttpTable : public Table {
 public:
  /// Longest wait for one exchange.
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  HttpTable(http::Client& client, std::string address);

  Task<Result<std::optional<TableItem>>> Read(std::string key) override;
  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override;
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override;

 private:
  http::Client& client;
  std::string address;
};

}  // namespace qp
