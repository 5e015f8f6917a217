#include "http_status.h"

namespace citronlug {

auto http_status(failure_code code) -> int {
    switch (code) {
    case failure_code::bad_request:
    case failure_code::invalid_token:
        return 400;
    case failure_code::unauthorised:
        return 401;
    case failure_code::forbidden:
        return 403;
    case failure_code::no_route:
        return 404;
    case failure_code::session_lost:
    case failure_code::duplicate_running:
    case failure_code::conflict:
    case failure_code::transaction_ended:
        return 409;
    case failure_code::statement_failed:
        return 422;
    case failure_code::rate_limited:
        return 429;
    default:
        return 503;
    }
}

} // namespace citronlug
