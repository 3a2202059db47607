#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace qp::http {

/// Beast body type that appends the bytes to a string as they arrive. Beast's
/// string_body reserves the Content-Length up front, so that a peer could force
/// an allocation of any size by sending only that header.
struct AppendBody {
  // Beast requires the names value_type, reader and their members.
  using value_type = std::string;  // NOLINT(readability-identifier-naming)

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&,
           value_type& destination)
        : body(destination) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& failure) {
      failure = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers,
                    boost::system::error_code& failure) {
      failure = {};
      std::size_t count = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        this->body.append(static_cast<const char*>(buffer.data()),
                          buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(boost::system::error_code& failure) { failure = {}; }

   private:
    value_type& body;
  };
};

}  // namespace qp::http
