#include "tests/fakes/cluster_node.h"

#include <utility>

#include "tests/fakes/prompt_reader.h"

namespace kingcupdrift::fakes {
namespace {

FakeEngineClientOptions EngineClientOptions(const InstanceId& owner) {
  FakeEngineClientOptions options;
  options.owner = owner;
  options.read_prompt = ParseRequestPrompt;
  return options;
}

}  // namespace

ClusterNode::ClusterNode(EntrySettings settings,
                         std::uint64_t seed,
                         const ClusterNetwork& network)
    : settings_(std::move(settings)),
      clock_(network.clock),
      random_(seed),
      store_({}, network.store, clock_),
      list_(network.list, clock_),
      engines_(EngineClientOptions(settings_.instance),
               network.engines,
               clock_),
      services_(network.services, clock_),
      peers_(settings_.peer_endpoint, network.peers, clock_),
      entry_(settings_,
             {clock_, random_, store_, list_, engines_, services_, peers_}),
      inbox_(clock_) {}

ClusterNode::~ClusterNode() = default;

void ClusterNode::CloseClients() {
  store_.Close();
  engines_.Close();
  services_.Close();
  peers_.Close();
}

}  // namespace kingcupdrift::fakes
