#include "src/http/target_connection.hpp"

#include "src/http/http_exchange.hpp"

namespace tanagerlead::http
{

namespace
{

/// Keeps an exchange from being heard once nobody holds it.
class held_exchange final : public target_exchange
{
public:
    explicit held_exchange(std::shared_ptr<http_exchange> exchange)
        : exchange_{std::move(exchange)}
    {
    }

    ~held_exchange() override { exchange_->abandon(); }
    held_exchange(held_exchange const&) = delete;
    held_exchange& operator=(held_exchange const&) = delete;

    void stop() override { exchange_->stop(); }

private:
    std::shared_ptr<http_exchange> exchange_;
};

} // namespace

std::unique_ptr<target_exchange> http_target_connection::begin(
    base::address const& target, target_call const& call,
    connection_limits const& limits, target_listener& listener)
{
    auto exchange =
        std::make_shared<http_exchange>(loop_, target, call, limits, listener);
    exchange->start();
    return std::make_unique<held_exchange>(std::move(exchange));
}

} // namespace tanagerlead::http
