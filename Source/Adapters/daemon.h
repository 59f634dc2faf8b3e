#pragma once

#include "Adapters/settings.h"
#include "Base/error.h"

#include <memory>

namespace persimmonshelf {

// One entry instance: the engine, its network adapters and their threads.
class daemon
{
public:
  // Binds all addresses. Fails with address_unavailable; the message contains the address.
  static result<std::unique_ptr<daemon>> create(const instance_settings& settings);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  // Runs until a drain completes or exceeds `drain_timeout`. SIGTERM, SIGINT or an operator command
  // starts the drain. Returns true if all requests were answered.
  bool run();

private:
  struct state;
  explicit daemon(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

}
