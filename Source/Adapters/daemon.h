#pragma once

#include "Adapters/settings.h"
#include "Base/error.h"

#include <memory>

namespace persimmonshelf {

// One entry instance: the engine, its adapters and the threads that join them.
class daemon
{
public:
  // Binds all addresses. Fails with address_unavailable and the address.
  static result<std::unique_ptr<daemon>> create(const instance_settings& settings);
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  // Runs until a planned stop is over, or until its time limit passed. A stop is started by
  // SIGTERM, SIGINT or an operator's command. Returns true if no request was cut.
  bool run();

private:
  struct state;
  explicit daemon(std::unique_ptr<state> owned);
  std::unique_ptr<state> state_;
};

}
