#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "tests/fakes/load_run.h"

int main(int argc, char** argv) {
  using namespace kingcupdrift;
  fakes::LoadRunOptions o;
  const double capacity = fakes::MeasureEngineCapacity(o) * o.engines;
  fmt::print("capacity {:.0f}\n", capacity);
  double load = argc > 1 ? atof(argv[1]) : 0.8;
  o.offered_rate = capacity * load;
  o.seed = argc > 2 ? atoi(argv[2]) : 1;
  struct P {
    const char* n;
    RoutingPolicyKind k;
    bool f;
    double w;
  };
  for (auto p : {P{"cost E", RoutingPolicyKind::kCost, false, 0.5},
                 P{"cost B", RoutingPolicyKind::kCost, false, 2},
                 P{"random", RoutingPolicyKind::kRandom, false, 1},
                 P{"lif", RoutingPolicyKind::kLeastInFlight, false, 1},
                 P{"lif+prio", RoutingPolicyKind::kLeastInFlight, true, 1},
                 P{"split", RoutingPolicyKind::kSplit, false, 1}}) {
    o.policy = p.k;
    o.forces_length_priority = p.f;
    o.inflicted_delay_weight = p.w;
    auto r = fakes::RunLoad(o);
    for (int b = 0; b < 4; ++b) {
      auto& x = r.bands[b];
      auto q = [](std::vector<double> v, double f) {
        if (v.empty())
          return 0.0;
        std::sort(v.begin(), v.end());
        return v[size_t(f * (v.size() - 1))];
      };
      fmt::print(
          "{:10} {:8} n={:5} ttft {:6.2f} {:6.2f} {:6.2f} slow {:5.2f} {:5.2f} "
          "{:5.2f} refused {:.3f} late {}\n",
          p.n, fakes::LoadBandName(b), x.offered, q(x.first_token, .5),
          q(x.first_token, .95), q(x.first_token, .99), q(x.slowdown, .5),
          q(x.slowdown, .95), q(x.slowdown, .99),
          x.refused / std::max<double>(1, x.offered), x.late);
    }
    fmt::print("   goodput {:.3f} cached {:.3f} retries {}\n",
               r.goodput / capacity, r.cached_share, r.retries);
  }
}
