#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/messages.h"
#include "foundation/clock.h"

namespace qp {

/// A numbered document that is complete.
struct Document {
  std::uint64_t version = 0;
  std::string content;
};

/// Keeps the highest version of one document (the configuration or the budget
/// generation) and fetches a higher one from the peer that announced it. A
/// document larger than a message travels in parts.
class ConfigurationGossip {
 public:
  static constexpr std::size_t kPartBytes = 48 * 1024;
  static constexpr std::size_t kMaxParts = 64;
  /// After this time without a new part, the missing ones are requested again
  /// from whichever peer announces the version next.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

  explicit ConfigurationGossip(DocumentKind kind);

  /// Keeps `content` if `version` is higher than the current one.
  bool Offer(std::uint64_t version, std::string content);

  std::uint64_t version() const { return this->current.version; }
  /// Highest version that a peer announced.
  std::uint64_t highest_seen() const { return this->highest_seen_version; }

  /// A peer announced `version`; requests it if it is news.
  void OnAnnounced(const std::string& address, std::uint64_t version,
                   TimePoint now, std::vector<Envelope>& out);

  void OnRequest(const std::string& address,
                 const ConfigurationRequest& request,
                 std::vector<Envelope>& out) const;

  /// Collects a part. Returns the document once it is complete; the caller
  /// checks it and offers it. The content of a malformed one is discarded.
  std::optional<Document> OnPush(const ConfigurationPush& push, TimePoint now);

  std::size_t EstimateStateBytes() const;

 private:
  /// A document of which parts are missing.
  struct Fetch {
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0;
    std::uint32_t parts = 0;  ///< 0 until the first part arrives.
    std::map<std::uint32_t, std::string> received;
    TimePoint progress_at{};
  };

  std::vector<std::uint32_t> MissingParts() const;
  std::optional<Document> AssembleIfComplete();

  DocumentKind kind;
  Document current;
  std::uint64_t highest_seen_version = 0;
  std::optional<Fetch> fetch;
};

}  // namespace qp
