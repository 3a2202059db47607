#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp::admission {

/// Tokens of requests in flight by workspace, over the processes of a zone.
/// Answers one workspace that sends far more than the others while memory is
/// short.
class WorkspaceShares {
 public:
  /// Workspaces with the most tokens that a report names.
  static constexpr std::size_t kMaxReported = 8;
  /// A workspace is over its share with more than this multiple of an equal
  /// part of the tokens.
  static constexpr double kMaxEqualParts = 2.0;
  /// Age from which a report of a peer no longer counts.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);
  /// Largest number of tokens of a workspace that a report can state.
  static constexpr std::uint32_t kMaxTokens = 100'000'000;

  /// Tokens of one workspace, which is named by a hash.
  struct Tokens {
    std::uint32_t workspace = 0;
    std::uint32_t tokens = 0;

    bool operator==(const Tokens&) const = default;
  };

  /// Counts the tokens of one request for the lifetime of this object, but not
  /// beyond that of the WorkspaceShares.
  class Hold {
   public:
    Hold(WorkspaceShares& shares, std::string_view workspace, double tokens);
    ~Hold();
    Hold(const Hold&) = delete;
    Hold& operator=(const Hold&) = delete;

   private:
    std::weak_ptr<std::map<std::uint32_t, double>> own;
    std::uint32_t workspace;
    double tokens;
  };

  /// Whether the workspace holds more than kMaxEqualParts equal parts of the
  /// tokens. False while fewer than two workspaces have requests in flight.
  bool IsOverShare(std::string_view workspace) const;
  /// Replaces what the process `node` has reported. Entries beyond
  /// kMaxReported are ignored and tokens above kMaxTokens count as kMaxTokens.
  void Merge(std::string_view node, const std::vector<Tokens>& reported,
             TimePoint now);
  /// The workspaces with the most tokens in this process, for a report.
  std::vector<Tokens> MakeReport() const;
  /// Drops reports that are too old.
  void Expire(TimePoint now);

 private:
  struct Peer {
    TimePoint received{};
    std::vector<Tokens> tokens;
  };

  std::shared_ptr<std::map<std::uint32_t, double>> own =
      std::make_shared<std::map<std::uint32_t, double>>();
  std::map<std::string, Peer, std::less<>> peers;
};

}  // namespace qp::admission
