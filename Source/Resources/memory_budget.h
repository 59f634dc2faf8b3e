#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace persimmonshelf {

// Limits the bytes that all connections and sessions of the process hold together. Each has an
// account. While the sum exceeds the limit, the account that holds most is told to end.
class memory_budget
{
  struct state;

public:
  // Bytes that one connection or session holds. They are returned to the budget when the account is
  // destroyed. An account without a budget counts nothing.
  class account
  {
  public:
    account() = default;
    ~account();
    account(account&& other) noexcept = default;
    account& operator=(account&& other) noexcept;
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    // Sets the number of bytes that the holder has now.
    void set(std::size_t bytes) { set(bytes, bytes); }
    // `ranked_bytes` decides which account is the largest. It is less than `bytes` for a holder
    // whose bytes are copies that this process makes.
    void set(std::size_t bytes, std::size_t ranked_bytes);
    std::size_t bytes() const;

  private:
    friend class memory_budget;
    account(std::shared_ptr<state> owner, std::uint64_t number);
    void close();

    std::shared_ptr<state> owner_;
    std::uint64_t number_ = 0;
  };

  // `exceeded` is called once when the sum rises above the limit. It must arrange for a later call
  // of enforce(): an account may not end while its holder changes it.
  explicit memory_budget(std::size_t limit_bytes, std::function<void()> exceeded = {});

  // `end` closes the holder, which destroys the account, at once or later. It is called at most
  // once. An account without `end` is counted and never told to end.
  account open(std::function<void()> end);

  // Ends the largest accounts until the others fit in the limit. Returns the number of ended ones.
  std::size_t enforce();

  std::size_t limit_bytes() const;
  // Sum of all accounts, including those that were told to end and have not ended yet.
  std::size_t used_bytes() const;
  std::size_t account_count() const;

private:
  std::shared_ptr<state> state_;
};

}
