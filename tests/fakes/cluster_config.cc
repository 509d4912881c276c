#include <fmt/format.h>

#include <utility>

#include "tests/fakes/cluster.h"
#include "tests/fakes/cluster_names.h"

namespace kingcupdrift::fakes {
namespace {

std::string EngineTable(const EngineId& id,
                        const char* service,
                        int index,
                        bool is_fencing_enforced) {
  return fmt::format(
      "[engines.{}]\nservice = \"{}\"\nendpoint = \"10.1.{}.{}:80\"\n"
      "failure_domain = \"d{}\"\nfencing = \"{}\"\n",
      id.value(), service, service[0] == 'c' ? 0 : 1, index + 1, index % 3 + 1,
      is_fencing_enforced ? "enforced" : "ignored");
}

}  // namespace

ConfigDocuments Cluster::MakeDocuments(int revision) const {
  std::string base = fmt::format(
      "format = 1\n[sites.{}]\nfailure_domains = [\"d1\", \"d2\", \"d3\"]\n"
      "[services.chat]\nkind = \"model\"\nmodel = \"{}\"\n"
      "default_time_limit = \"1m\"\nmax_time_limit = \"10m\"\nversion = "
      "\"v{}\"\n"
      "[services.shop]\nkind = \"plain\"\npath_prefix = \"/shop\"\n"
      "non_idempotent_routes = [\"POST {}\"]\n"
      "[workspaces.w]\ntoken_digest = \"{}\"\n",
      kSiteName, kModelName, revision, kOrderTarget,
      ComputeSha256Hex(kWorkspaceToken));
  for (int i = 0; i < options_.engines; ++i) {
    base += EngineTable(EngineName(i), "chat", i, options_.is_fencing_enforced);
  }
  for (int i = 0; i < options_.services; ++i) {
    base += EngineTable(ServiceName(i), "shop", i, false);
  }
  ConfigDocuments documents;
  documents.base = std::move(base);
  documents.overlays[SiteId(kSiteName)] = "format = 1\n";
  return documents;
}

void Cluster::Approve(const std::string& operator_name) {
  const ConfigDocuments documents = MakeDocuments(++revision_);
  operators_[operator_name] = std::make_unique<ClusterOperator>(
      store_, clock_, options_.seed + static_cast<std::uint64_t>(revision_));
  ConfigStore& config = operators_[operator_name]->config;
  approvals_[operator_name] = "pending";
  const auto fail = [this, operator_name](const Error& error) {
    approvals_[operator_name] = GetErrorCodeName(error.code);
  };
  const auto on_approved = [this, operator_name,
                            fail](const Result<Approval>& approved) {
    if (!approved) {
      fail(approved.error());
      return;
    }
    approvals_[operator_name] = "approved";
    const Generation generation = approved->head.head.generation;
    if (generation > approved_) {
      approved_ = generation;
      approved_at_ = clock_.Now();
    }
  };
  const auto on_submitted = [&config, operator_name, fail,
                             on_approved](const Result<std::string>& proposal) {
    if (!proposal) {
      fail(proposal.error());
      return;
    }
    config.Approve(*proposal, operator_name, on_approved);
  };
  config.LoadHead([&config, documents, operator_name, fail, on_submitted](
                      const Result<std::optional<StoredHead>>& head) {
    if (!head) {
      fail(head.error());
      return;
    }
    config.Submit(documents, *head, operator_name, on_submitted);
  });
}

}  // namespace kingcupdrift::fakes
