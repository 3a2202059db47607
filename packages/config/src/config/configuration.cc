#include "config/configuration.h"

#include <algorithm>

namespace qp {

namespace {

template <class Items, class Predicate>
auto FindOrNull(const Items& items, Predicate predicate) {
  const auto found = std::find_if(items.begin(), items.end(), predicate);
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const RequestClass* Configuration::FindClass(std::string_view name) const {
  return FindOrNull(this->classes,
                    [&](const auto& item) { return item.name == name; });
}

const RequestClass* Configuration::FindOperation(
    std::string_view service, std::string_view operation) const {
  return FindOrNull(this->classes, [&](const auto& item) {
    return item.service == service && item.operation == operation;
  });
}

const ModelSpec* Configuration::FindModel(std::string_view name) const {
  return FindOrNull(this->models,
                    [&](const auto& item) { return item.name == name; });
}

const Workspace* Configuration::FindWorkspaceByToken(
    std::string_view token_sha256) const {
  return FindOrNull(this->workspaces, [&](const auto& item) {
    return item.token_sha256 == token_sha256;
  });
}

}  // namespace qp
