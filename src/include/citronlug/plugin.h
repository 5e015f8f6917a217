#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citronlug {

/// Registry of one kind of policy. Plug-ins add themselves before main() through `plugin_registration`.
/// Registration happens during static initialisation only, so the registry needs no lock.
template <class Interface>
class plugin_registry {
public:
    using factory = std::function<std::unique_ptr<Interface>()>;

    static auto add(std::string name, factory make) -> void {
        entries().emplace(std::move(name), std::move(make));
    }

    /// New object of the named plug-in; null if there is none.
    [[nodiscard]] static auto make(const std::string& name) -> std::unique_ptr<Interface> {
        const auto it = entries().find(name);
        return it == entries().end() ? nullptr : it->second();
    }

    [[nodiscard]] static auto names() -> std::vector<std::string> {
        auto found = std::vector<std::string>{};
        for (const auto& [name, make] : entries()) {
            found.push_back(name);
        }
        return found;
    }

private:
    static auto entries() -> std::map<std::string, factory>& {
        static auto table = std::map<std::string, factory>{};
        return table;
    }
};

/// Static object of a plug-in that registers `Implementation` under a name.
template <class Interface, class Implementation>
struct plugin_registration {
    explicit plugin_registration(std::string name) {
        plugin_registry<Interface>::add(std::move(name), [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace citronlug
