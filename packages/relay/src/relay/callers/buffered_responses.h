#pragma once

#include <cstddef>

namespace qp::relay {

/// Bounds the bytes of plain responses that all requests together buffer until
/// they are complete. A request that gets no more passes its response on as it
/// arrives.
class BufferedResponses {
 public:
  explicit BufferedResponses(std::size_t bytes) : limit(bytes) {}
  BufferedResponses(const BufferedResponses&) = delete;
  BufferedResponses& operator=(const BufferedResponses&) = delete;

  void SetLimit(std::size_t bytes) { this->limit = bytes; }
  std::size_t held() const { return this->total; }

  /// The part of one request. Must not outlive the BufferedResponses.
  class Part {
   public:
    explicit Part(BufferedResponses& shared) : responses(shared) {}
    ~Part() { this->Release(); }
    Part(const Part&) = delete;
    Part& operator=(const Part&) = delete;

    /// Sets the size. False, without any change, if the limit does not allow
    /// the part to grow.
    [[nodiscard]] bool Resize(std::size_t size) {
      const std::size_t others = this->responses.total - this->bytes;
      if (size > this->bytes && others + size > this->responses.limit) {
        return false;
      }
      this->responses.total = others + size;
      this->bytes = size;
      return true;
    }
    void Release() {
      this->responses.total -= this->bytes;
      this->bytes = 0;
    }

   private:
    BufferedResponses& responses;
    std::size_t bytes = 0;
  };

 private:
  std::size_t limit;
  std::size_t total = 0;
};

}  // namespace qp::relay
