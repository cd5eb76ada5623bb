#include "grpc/credentials.h"

#include <grpc/grpc.h>
#include <grpc/grpc_security.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <array>
#include <ctime>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace marldale::grpc_front {
namespace {

constexpr std::size_t kFileMost = 1U << 20U;

template <auto Free>
struct Freed {
    template <class T>
    void operator()(T* object) const {
        Free(object);
    }
};
using Bio = std::unique_ptr<BIO, Freed<BIO_free>>;
using Certificate = std::unique_ptr<X509, Freed<X509_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, Freed<EVP_PKEY_free>>;
using Store = std::unique_ptr<X509_STORE, Freed<X509_STORE_free>>;
using StoreContext = std::unique_ptr<X509_STORE_CTX, Freed<X509_STORE_CTX_free>>;

void freeCertificates(STACK_OF(X509) * all) { sk_X509_pop_free(all, X509_free); }
using Certificates = std::unique_ptr<STACK_OF(X509), Freed<freeCertificates>>;

std::string read(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string out{std::istreambuf_iterator<char>(in), {}};
    if (!in || out.empty() || out.size() > kFileMost) throw std::runtime_error(path + ": can't be read");
    return out;
}

Bio bioOf(const std::string& text) {
    return Bio(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

Certificates certificatesIn(const std::string& pem) {
    Certificates out(sk_X509_new_null());
    const Bio bio = bioOf(pem);
    while (X509* one = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) sk_X509_push(out.get(), one);
    return out;
}

std::string textOf(const ASN1_STRING* string) {
    unsigned char* text = nullptr;
    const int size = ASN1_STRING_to_UTF8(&text, string);
    if (size < 0) return {};
    std::string out(reinterpret_cast<char*>(text), static_cast<std::size_t>(size));
    OPENSSL_free(text);
    // A name with a zero byte in it would be read as another one elsewhere.
    return out.find('\0') == std::string::npos ? out : std::string();
}

std::vector<std::string> namesOf(X509* certificate) {
    std::vector<std::string> out;
    auto* const others =
        static_cast<GENERAL_NAMES*>(X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr));
    for (int i = 0; others != nullptr && i < sk_GENERAL_NAME_num(others); ++i) {
        const GENERAL_NAME* name = sk_GENERAL_NAME_value(others, i);
        if (name->type == GEN_URI) out.push_back(textOf(name->d.uniformResourceIdentifier));
        if (name->type == GEN_DNS) out.push_back(textOf(name->d.dNSName));
    }
    GENERAL_NAMES_free(others);
    X509_NAME* subject = X509_get_subject_name(certificate);
    const int at = X509_NAME_get_index_by_NID(subject, NID_commonName, -1);
    if (at >= 0) out.push_back(textOf(X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, at))));
    std::erase(out, std::string());
    return out;
}

bool inForce(X509* certificate, std::time_t now) {
    return X509_cmp_time(X509_get0_notBefore(certificate), &now) < 0 &&
           X509_cmp_time(X509_get0_notAfter(certificate), &now) > 0;
}

grpc_ssl_certificate_config_reload_status fetch(void* ring, grpc_ssl_server_certificate_config** out);

class RingCredentials : public ::grpc::ServerCredentials {
public:
    explicit RingCredentials(KeyRing& ring) {
        grpc_ssl_server_credentials_options* options =
            grpc_ssl_server_credentials_create_options_using_config_fetcher(
                GRPC_SSL_REQUEST_CLIENT_CERTIFICATE_BUT_DONT_VERIFY, fetch, &ring);
        credentials_ = grpc_ssl_server_credentials_create_with_options(options);
        if (credentials_ == nullptr) throw std::runtime_error("the gRPC library does not take the keys");
    }
    ~RingCredentials() override { grpc_server_credentials_release(credentials_); }
    RingCredentials(const RingCredentials&) = delete;
    RingCredentials& operator=(const RingCredentials&) = delete;

    void SetAuthMetadataProcessor(const std::shared_ptr<::grpc::AuthMetadataProcessor>& /*none*/) override {}

private:
    int AddPortToServer(const std::string& address, grpc_server* server) override {
        return grpc_server_add_http2_port(server, address.c_str(), credentials_);
    }
    grpc_server_credentials* credentials_ = nullptr;
};

grpc_ssl_certificate_config_reload_status fetch(void* ring, grpc_ssl_server_certificate_config** out) {
    const auto keys = static_cast<KeyRing*>(ring)->now();
    const grpc_ssl_pem_key_cert_pair pair{keys->key.c_str(), keys->certificate.c_str()};
    *out = grpc_ssl_server_certificate_config_create(keys->clientsCa.c_str(), &pair, 1);
    return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_NEW;
}

}  // namespace

Keys readKeys(const routing::FrontSettings& settings) {
    Keys out{read(settings.certificate), read(settings.key), read(settings.clientsCa), ""};
    out.peersCa = settings.peersCa.empty() ? out.clientsCa : read(settings.peersCa);
    const Bio keyText = bioOf(out.key);
    const PrivateKey key(PEM_read_bio_PrivateKey(keyText.get(), nullptr, nullptr, nullptr));
    if (!key) throw std::runtime_error(settings.key + ": holds no private key without a password");
    const Certificates own = certificatesIn(out.certificate);
    if (sk_X509_num(own.get()) == 0)
        throw std::runtime_error(settings.certificate + ": holds no certificate");
    X509* const first = sk_X509_value(own.get(), 0);
    if (X509_check_private_key(first, key.get()) != 1) {
        throw std::runtime_error(settings.key + ": is not the key of " + settings.certificate);
    }
    if (!inForce(first, std::time(nullptr))) {
        throw std::runtime_error(settings.certificate + ": is expired, or not in force yet");
    }
    if (sk_X509_num(certificatesIn(out.clientsCa).get()) == 0) {
        throw std::runtime_error(settings.clientsCa + ": holds no certificate");
    }
    if (sk_X509_num(certificatesIn(out.peersCa).get()) == 0) {
        throw std::runtime_error(settings.peersCa + ": holds no certificate");
    }
    return out;
}

std::shared_ptr<::grpc::ServerCredentials> credentialsOf(KeyRing& ring) {
    return std::make_shared<RingCredentials>(ring);
}

Identity identify(const std::string& own, const std::string& others, const std::string& clientsCa,
                  std::int64_t now) {
    Identity out;
    const Certificates mine = certificatesIn(own), sent = certificatesIn(others);
    if (sk_X509_num(mine.get()) == 0) {
        out.refused = "no client certificate";
        return out;
    }
    X509* const client = sk_X509_value(mine.get(), 0);
    const Certificates roots = certificatesIn(clientsCa);
    const Store store(X509_STORE_new());
    for (int i = 0; i < sk_X509_num(roots.get()); ++i) {
        X509_STORE_add_cert(store.get(), sk_X509_value(roots.get(), i));
    }
    const StoreContext context(X509_STORE_CTX_new());
    X509_STORE_CTX_init(context.get(), store.get(), client, sent.get());
    X509_VERIFY_PARAM* const rules = X509_STORE_CTX_get0_param(context.get());
    X509_VERIFY_PARAM_set_purpose(rules, X509_PURPOSE_SSL_CLIENT);
    X509_VERIFY_PARAM_set_time(rules, static_cast<std::time_t>(now));
    if (X509_verify_cert(context.get()) != 1) {
        out.refused = std::string("client certificate refused: ") +
                      X509_verify_cert_error_string(X509_STORE_CTX_get_error(context.get()));
        return out;
    }
    out.names = namesOf(client);
    if (out.names.empty()) out.refused = "client certificate refused: it carries no name";
    return out;
}

}  // namespace marldale::grpc_front
