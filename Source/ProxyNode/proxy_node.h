#pragma once

#include "Base/error.h"
#include "ProxyNode/node_settings.h"

#include <memory>

namespace persimmonshelf {

// One proxy instance. Accepts callers, connects to members and uses the platform's store.
class proxy_node
{
public:
  // Fails with address_unavailable if an address cannot be bound.
  static result<std::unique_ptr<proxy_node>> create(const node_settings& settings);
  ~proxy_node();
  proxy_node(const proxy_node&) = delete;
  proxy_node& operator=(const proxy_node&) = delete;

  // Serves until SIGTERM, then drains and returns. Fails with internal_error after an unexpected
  // error that leaves the state of the instance unknown.
  result<void> run();

private:
  struct state;
  explicit proxy_node(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

}
