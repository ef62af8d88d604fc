#include "kumquatgauge/daemon/service_directory.h"

#include <set>
#include <utility>

namespace kumquatgauge::daemon {
namespace {

auto RoutingRule(control::BatchRule rule) -> routing::BatchRule {
  switch (rule) {
    case control::BatchRule::kFixedShare:
      return routing::BatchRule::kFixedShare;
    case control::BatchRule::kIdleOnly:
      return routing::BatchRule::kIdleOnly;
    case control::BatchRule::kFeedback:
      break;
  }
  return routing::BatchRule::kFeedback;
}

}  // namespace

ServiceView::ServiceView(const control::Configuration& configuration)
    : revision_(configuration.revision()) {
  for (auto& service : configuration.Services()) {
    for (const auto& model : service.models) {
      models_.emplace(model, service.name);
    }
    auto name = service.name;
    services_.emplace(std::move(name), std::move(service));
  }
  for (const auto& organisation : configuration.Organisations()) {
    weights_.emplace(organisation.name, organisation.weight);
  }
}

auto ServiceView::FindService(const ServiceName& name) const
    -> std::optional<control::ServiceSpec> {
  const auto found = services_.find(name);
  if (found == services_.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto ServiceView::ServiceOfModel(const std::string& model) const
    -> std::optional<control::ServiceSpec> {
  const auto found = models_.find(model);
  return FindService(found == models_.end() ? ServiceName(model)
                                            : found->second);
}

auto ServiceView::models() const -> std::vector<std::string> {
  auto models = std::vector<std::string>();
  for (const auto& [model, service] : models_) {
    models.push_back(model);
  }
  return models;
}

auto ServiceView::OrganisationWeight(const OrganisationName& name) const
    -> double {
  const auto found = weights_.find(name);
  return found == weights_.end() ? 1.0 : found->second;
}

auto ServiceDirectory::Set(std::shared_ptr<const ServiceView> view) -> void {
  const auto lock = std::lock_guard(mutex_);
  view_ = std::move(view);
}

auto ServiceDirectory::view() const -> std::shared_ptr<const ServiceView> {
  const auto lock = std::lock_guard(mutex_);
  return view_;
}

auto ServiceDirectory::BatchSettingsOf(const ServiceName& service) const
    -> routing::BatchAdmissionSettings {
  auto settings = routing::BatchAdmissionSettings();
  if (const auto spec = view()->FindService(service)) {
    settings.rule = RoutingRule(spec->batch_rule);
    settings.lean = spec->lean;
    settings.share = spec->batch_share;
  }
  return settings;
}

auto BuildReplicas(const control::Configuration& configuration,
                   const store::HostListSnapshot& hosts)
    -> std::vector<routing::Replica> {
  auto leaving = std::set<std::string>();
  for (const auto& host : hosts.hosts) {
    if (host.state == store::HostState::kLeaving) {
      leaving.insert(host.address);
    }
  }
  auto replicas = std::vector<routing::Replica>();
  for (const auto& upstream : configuration.Upstreams()) {
    const auto service = configuration.FindService(upstream.service);
    const auto plain = service && service->kind == control::ServiceKind::kPlain;
    replicas.push_back(
        {.id = upstream.name,
         .service = upstream.service,
         .kind = plain ? routing::UpstreamKind::kPlainService
                       : routing::UpstreamKind::kModelEngine,
         .address = upstream.address,
         .zone = upstream.zone,
         .leaving = upstream.leaving || leaving.contains(upstream.address),
         .capacity = upstream.capacity,
         .checks_fencing = upstream.checks_fencing,
         .can_resume = upstream.can_resume});
  }
  return replicas;
}

}  // namespace kumquatgauge::daemon
