#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
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

    void init(const boost::optional<std::uint64_t>& length,
              boost::system::error_code& failure) {
      this->announced = length.value_or(0);
      failure = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers,
                    boost::system::error_code& failure) {
      failure = {};
      this->Reserve(boost::beast::buffer_bytes(buffers));
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
    /// Divisor of the size by which a body of unknown length grows at least.
    static constexpr std::size_t kGrowthDivisor = 4;

    /// Grows the string to hold `count` more bytes. The string itself would
    /// double, so that a body held up to twice its memory.
    void Reserve(std::size_t count) {
      const std::size_t needed = this->body.size() + count;
      if (needed <= this->body.capacity()) {
        return;
      }
      const std::size_t grown = needed + needed / kGrowthDivisor;
      const bool is_known = this->announced >= needed;
      // reserve of a string that is not empty doubles the capacity.
      std::string larger;
      larger.reserve(is_known && this->announced < grown
                         ? static_cast<std::size_t>(this->announced)
                         : grown);
      larger.append(this->body);
      this->body.swap(larger);
    }

    value_type& body;
    std::uint64_t announced = 0;  ///< Content-Length; 0 if unknown.
  };
};

}  // namespace qp::http
