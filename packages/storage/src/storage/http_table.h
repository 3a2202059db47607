#pragma once

#include <string>

#include "foundation/clock.h"
#include "storage/table.h"

namespace qp::http {
class Client;
}  // namespace qp::http

namespace qp {

/// Client of the table service over HTTP.
class HttpTable : public Table {
 public:
  /// Limit on the time from sending a request to its complete response.
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);

  /// `address` is the service's "IP:port".
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
