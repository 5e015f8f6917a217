#include <citronlug/server_list_order.h>

namespace citronlug {

auto server_list_order::accept(list_basis basis) -> bool {
    if (basis.revision != 0 && basis < present_) {
        return false;
    }
    present_ = basis;
    return true;
}

auto server_list_order::accept_fetched(std::uint64_t version, list_basis basis) -> bool {
    const auto is_accepted = accept(basis);
    if (!is_accepted) {
        refused_version_ = version;
    }
    return is_accepted;
}

} // namespace citronlug
