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

/// A complete version of a document.
struct Document {
  std::uint64_t version = 0;
  std::string content;
};

/// Stores the highest known version of one document (the configuration or the
/// budget generation) and fetches higher versions from the peers that announce
/// them. A document larger than a message is sent in parts.
class ConfigurationGossip {
 public:
  /// Maximum content of one part. With the header and the other fields, the
  /// message stays below kMaxMessageBytes.
  static constexpr std::size_t kPartBytes = 48 * 1024;
  /// Maximum number of parts; limits a document to 3 MiB.
  static constexpr std::size_t kMaxParts = 64;
  /// If no part arrives for this time, the missing parts are requested again
  /// from the next peer that announces the version.
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

  explicit ConfigurationGossip(DocumentKind kind);

  /// Replaces the document if `version` is higher than the current one. Returns
  /// whether it was replaced.
  bool Offer(std::uint64_t version, std::string content);

  std::uint64_t version() const { return this->current.version; }
  /// Highest version that a peer announced or that was passed to Offer.
  std::uint64_t highest_seen() const { return this->highest_seen_version; }

  /// Requests `version` from the peer at `address`, which announced it, if it
  /// is higher than the current version and not already being fetched.
  void OnAnnounced(const std::string& address, std::uint64_t version,
                   TimePoint now, std::vector<Envelope>& out);

  /// Sends the requested parts of the current version. Sends all parts if the
  /// request names no parts or another version, and nothing if the requested
  /// version is higher than the current version.
  void OnRequest(const std::string& address,
                 const ConfigurationRequest& request,
                 std::vector<Envelope>& out) const;

  /// Collects a part. Returns the document once it is complete; the caller
  /// validates it and passes it to Offer. Malformed parts and documents whose
  /// content does not match its hash are discarded.
  std::optional<Document> OnPush(const ConfigurationPush& push, TimePoint now);

  std::size_t EstimateStateBytes() const;

 private:
  /// A document whose parts are being collected.
  struct Fetch {
    std::uint64_t version = 0;
    std::uint64_t content_hash = 0;
    std::uint32_t parts = 0;  ///< 0 until the first part arrives.
    std::map<std::uint32_t, std::string> received;
    /// Time of the latest request or of the arrival of the latest part.
    TimePoint progress_at{};
  };

  std::vector<std::uint32_t> MissingParts() const;
  /// Returns the document and ends the fetch if all parts have arrived. Empty
  /// if parts are missing or the content hash differs.
  std::optional<Document> AssembleIfComplete();

  DocumentKind kind;
  Document current;
  std::uint64_t highest_seen_version = 0;
  std::optional<Fetch> fetch;
};

}  // namespace qp
