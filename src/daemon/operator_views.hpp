#pragma once

#include "src/http/status_api.hpp"

namespace tanagerlead::kernel
{
class kernel;
}

namespace tanagerlead::daemon_parts
{

/// Gathers from the services what operators ask for. Any thread but the
/// control thread, once the services have started.
class operator_views
{
public:
    explicit operator_views(kernel::kernel& services) : services_{services} {}

    std::vector<http::daemon_version> versions();
    http::daemon_status status();
    std::vector<http::target_view> targets();
    std::optional<http::request_explanation> explain(base::request_id request);

    /// Bound to this, which must outlive them.
    http::status_readers readers();

private:
    kernel::kernel& services_;
};

} // namespace tanagerlead::daemon_parts
