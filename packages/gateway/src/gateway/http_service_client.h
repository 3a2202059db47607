#pragma once

#include <string>

#include "calls/service_client.h"
#include "http/client.h"

namespace qp {

/// ServiceClient over the messages of plain services on the design page.
class HttpServiceClient : public ServiceClient {
 public:
  /// `client` outlives this object.
  explicit HttpServiceClient(http::Client& client);

  Task<Result<ServiceReply>> Call(std::string address, ServiceCall call,
                                  Duration bound) override;

 private:
  http::Client& client;
};

}  // namespace qp
