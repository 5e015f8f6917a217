#include <citronlug/json_text.h>

#include <string>

namespace citronlug {

namespace {

/// Reads a JSON text from the start. Each function returns false at the first character that does not fit.
class scanner {
public:
    explicit scanner(std::string_view text)
        : text_{text} {}

    auto skip_blanks() -> void {
        while (at_ < text_.size() && std::string_view{" \t\r\n"}.find(text_[at_]) != std::string_view::npos) {
            ++at_;
        }
    }
    [[nodiscard]] auto at_end() const -> bool { return at_ >= text_.size(); }

    auto accept(char expected) -> bool {
        if (at_end() || text_[at_] != expected) {
            return false;
        }
        ++at_;
        return true;
    }

    auto read_string(std::string_view& content) -> bool {
        if (!accept('"')) {
            return false;
        }
        const auto start = at_;
        while (!at_end() && text_[at_] != '"') {
            at_ += text_[at_] == '\\' ? 2U : 1U;
        }
        if (at_ >= text_.size()) {
            return false;
        }
        content = text_.substr(start, at_ - start);
        ++at_;
        return true;
    }

    /// Reads one value of any kind. Keeps the open brackets on the heap, so that no depth overflows the
    /// stack.
    auto read_value(std::string_view& value) -> bool {
        const auto start = at_;
        auto closers = std::string{};
        do {
            if (at_end()) {
                return false;
            }
            const auto it = text_[at_];
            if (it == '"') {
                auto content = std::string_view{};
                if (!read_string(content)) {
                    return false;
                }
            } else if (it == '{' || it == '[') {
                closers += it == '{' ? '}' : ']';
                ++at_;
            } else if (it == '}' || it == ']') {
                if (closers.empty() || closers.back() != it) {
                    return false;
                }
                closers.pop_back();
                ++at_;
            } else if (closers.empty()) {
                read_scalar();
            } else {
                ++at_;
            }
        } while (!closers.empty());
        value = text_.substr(start, at_ - start);
        return !value.empty();
    }

private:
    auto read_scalar() -> void {
        while (!at_end() && std::string_view{",}] \t\r\n"}.find(text_[at_]) == std::string_view::npos) {
            ++at_;
        }
    }

    std::string_view text_;
    std::size_t at_ = 0;
};

/// Reads items separated by commas between two brackets that enclose the whole text.
template <class ReadItem>
auto split_list(std::string_view text, char open, char close, ReadItem read_item) -> bool {
    auto it = scanner{text};
    it.skip_blanks();
    if (!it.accept(open)) {
        return false;
    }
    it.skip_blanks();
    if (!it.accept(close)) {
        do {
            it.skip_blanks();
            if (!read_item(it)) {
                return false;
            }
            it.skip_blanks();
        } while (it.accept(','));
        if (!it.accept(close)) {
            return false;
        }
    }
    it.skip_blanks();
    return it.at_end();
}

} // namespace

auto split_object(std::string_view text) -> std::optional<std::vector<json_field>> {
    auto fields = std::vector<json_field>{};
    const auto read_field = [&](scanner& it) {
        auto field = json_field{};
        if (!it.read_string(field.name)) {
            return false;
        }
        it.skip_blanks();
        if (!it.accept(':')) {
            return false;
        }
        it.skip_blanks();
        if (!it.read_value(field.value)) {
            return false;
        }
        fields.push_back(field);
        return true;
    };
    return split_list(text, '{', '}', read_field) ? std::optional{std::move(fields)} : std::nullopt;
}

auto split_array(std::string_view text) -> std::optional<std::vector<std::string_view>> {
    auto elements = std::vector<std::string_view>{};
    const auto read_element = [&](scanner& it) {
        auto element = std::string_view{};
        if (!it.read_value(element)) {
            return false;
        }
        elements.push_back(element);
        return true;
    };
    return split_list(text, '[', ']', read_element) ? std::optional{std::move(elements)} : std::nullopt;
}

auto value_of_field(const std::vector<json_field>& fields, std::string_view name) -> std::string_view {
    auto value = std::string_view{};
    for (const auto& it : fields) {
        if (it.name == name) {
            value = it.value;
        }
    }
    return value;
}

} // namespace citronlug
