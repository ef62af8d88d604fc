#ifndef KUMQUATGAUGE_DAEMON_SERVICE_DIRECTORY_H_
#define KUMQUATGAUGE_DAEMON_SERVICE_DIRECTORY_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "kumquatgauge/base/ids.h"
#include "kumquatgauge/control/configuration.h"
#include "kumquatgauge/routing/batch_admission.h"
#include "kumquatgauge/routing/replica.h"
#include "kumquatgauge/store/host_list.h"

namespace kumquatgauge::daemon {

// The services and organisations of one configuration revision, in the form
// that the traffic threads need. Immutable.
class ServiceView {
 public:
  ServiceView() = default;
  explicit ServiceView(const control::Configuration& configuration);

  auto revision() const -> std::uint64_t { return revision_; }
  auto FindService(const ServiceName& name) const
      -> std::optional<control::ServiceSpec>;
  // The service that serves a model. A service's own name is accepted too.
  auto ServiceOfModel(const std::string& model) const
      -> std::optional<control::ServiceSpec>;
  auto models() const -> std::vector<std::string>;
  auto OrganisationWeight(const OrganisationName& name) const -> double;

 private:
  std::uint64_t revision_ = 0;
  std::map<ServiceName, control::ServiceSpec> services_;
  std::map<std::string, ServiceName> models_;
  std::map<OrganisationName, double> weights_;
};

// Holds the current ServiceView for the traffic threads. Thread-safe.
class ServiceDirectory {
 public:
  auto Set(std::shared_ptr<const ServiceView> view) -> void;
  auto view() const -> std::shared_ptr<const ServiceView>;
  auto BatchSettingsOf(const ServiceName& service) const
      -> routing::BatchAdmissionSettings;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ServiceView> view_ =
      std::make_shared<const ServiceView>();
};

// The replicas that the configuration names, with the state that the host list
// shows for their addresses. The list lags behind the configuration, so a host
// that it does not show counts as live; if it is not, its failures eject it.
auto BuildReplicas(const control::Configuration& configuration,
                   const store::HostListSnapshot& hosts)
    -> std::vector<routing::Replica>;

}  // namespace kumquatgauge::daemon

#endif  // KUMQUATGAUGE_DAEMON_SERVICE_DIRECTORY_H_
