#include "daemon/configuration_controller.h"

#include <string>

#include "cluster/cluster_node.h"
#include "daemon/cluster_handle.h"
#include "daemon/generation_json.h"
#include "foundation/wait.h"
#include "storage/configuration_store.h"
#include "storage/table.h"

namespace qp {

namespace {

constexpr std::string_view kGenerationKey = "budget/generation";

}  // namespace

ConfigurationController::ConfigurationController(
    Clock& time, Blackboard& blackboard, ConfigurationStore& source,
    Table& service, ClusterHandle& handle, EventSink& sink,
    const Lifetime& life)
    : clock(time),
      store(source),
      table(service),
      cluster(handle),
      events(sink),
      lifetime(life) {
  this->PublishApplied(blackboard);
}

Task<void> ConfigurationController::Poll() {
  while (!this->lifetime.ended) {
    const TimePoint read_began = this->clock.Now();
    // One after the other: confirmation needs the contents of both.
    const bool configuration_read = co_await this->ReadConfiguration();
    const bool generation_read =
        configuration_read && co_await this->ReadGeneration();
    if (generation_read) {
      this->cluster.Post([read_began](ClusterNode& node) {
        node.RecordTableRead(read_began);
      });
      co_await this->WriteProposedGeneration();
    }
    co_await SleepFor(this->clock, kPollInterval);
  }
}

Task<bool> ConfigurationController::ReadConfiguration() {
  const auto head = co_await this->store.ReadHead();
  if (!head) {
    co_return false;
  }
  const auto known =
      co_await this->cluster.Ask([](ClusterNode& node) -> std::uint64_t {
        const auto current = node.CurrentConfiguration();
        return current ? current->version : 0;
      });
  if (!head.value() || head.value()->version <= known) {
    co_return true;
  }
  auto current = co_await this->store.ReadCurrent();
  if (!current || !current.value()) {
    co_return false;
  }
  this->cluster.Post([configuration = std::move(*current.value()),
                      now = this->clock.Now()](ClusterNode& node) {
    node.OfferConfiguration(configuration, now);
  });
  co_return true;
}

Task<bool> ConfigurationController::ReadGeneration() {
  const auto item = co_await this->table.Read(std::string(kGenerationKey));
  if (!item) {
    co_return false;
  }
  if (!item.value()) {
    co_return true;
  }
  auto generation = GenerationOf(item.value()->value);
  if (!generation) {
    co_return false;
  }
  this->cluster.Post([generation = std::move(*generation),
                      now = this->clock.Now()](ClusterNode& node) {
    node.SetBudgetGeneration(generation, now);
  });
  co_return true;
}

Task<void> ConfigurationController::WriteProposedGeneration() {
  const auto proposal =
      co_await this->cluster.Ask([now = this->clock.Now()](ClusterNode& node) {
        return node.ProposeGeneration(now);
      });
  if (!proposal) {
    co_return;
  }
  TableCondition condition = IfAbsent{};
  if (proposal->number > 1) {
    condition = IfField{"number", proposal->number - 1};
  }
  TableOperation write{std::string(kGenerationKey), ToJson(*proposal),
                       std::move(condition)};
  // The next poll reads whichever proposal won.
  std::ignore = co_await this->table.Transact(TransactMode::kAll,
                                              Single(std::move(write)));
}

void ConfigurationController::PublishApplied(Blackboard& blackboard) {
  // A member that acknowledged a version must already serve by it, so the
  // cluster node publishes it on its own thread before it answers. The writer
  // is shared, since the node may outlive this controller.
  std::shared_ptr<Writer<ConfigurationView>> writer(
      blackboard.configuration.Claim());
  auto publish = [writer, &sink = this->events](
                     const std::shared_ptr<const Configuration>& applied) {
    writer->Publish({*applied});
    sink.Record(EventId::kConfigurationInForce,
                {{"version", std::to_string(applied->version)}});
  };
  this->cluster.Post(
      [publish](ClusterNode& node) { node.SetConfigurationListener(publish); });
}

}  // namespace qp
