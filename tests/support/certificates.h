// A certificate authority for tests: makes keys and certificates, in force or not, and writes them as PEM
// files.
#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <fstream>
#include <memory>
#include <string>

namespace marldale::tests {

struct PemPair {
    std::string certificate, key;
};

class Authority {
public:
    explicit Authority(const std::string& name)
        : key_(newKey()), certificate_(newCertificate(name, key_.get(), 1)) {
        extend(NID_basic_constraints, "critical,CA:TRUE", certificate_.get());
        sign(certificate_.get(), certificate_.get());
    }
    [[nodiscard]] std::string certificate() const { return pemOf(certificate_.get()); }

    // `names`: as `DNS:a,URI:b`; may be empty. In force from `fromS` to `toS` seconds from now.
    [[nodiscard]] PemPair issue(const std::string& commonName, const std::string& names, long fromS = -3600,
                                long toS = 3600) const {
        const Key key = newKey();
        const Certificate out = newCertificate(commonName, key.get(), ++serial_);
        X509_gmtime_adj(X509_getm_notBefore(out.get()), fromS);
        X509_gmtime_adj(X509_getm_notAfter(out.get()), toS);
        if (!names.empty()) extend(NID_subject_alt_name, names, out.get());
        sign(out.get(), certificate_.get());
        return {pemOf(out.get()), pemOf(key.get())};
    }

private:
    struct Free {
        void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
        void operator()(X509* certificate) const { X509_free(certificate); }
        void operator()(BIO* bio) const { BIO_free(bio); }
    };
    using Key = std::unique_ptr<EVP_PKEY, Free>;
    using Certificate = std::unique_ptr<X509, Free>;

    static Key newKey() { return Key(EVP_EC_gen("P-256")); }
    static Certificate newCertificate(const std::string& name, EVP_PKEY* key, long serial) {
        Certificate out(X509_new());
        X509_set_version(out.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(out.get()), serial);
        X509_gmtime_adj(X509_getm_notBefore(out.get()), -3600);
        X509_gmtime_adj(X509_getm_notAfter(out.get()), 3600);
        X509_NAME_add_entry_by_txt(X509_get_subject_name(out.get()), "CN", MBSTRING_UTF8,
                                   reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        X509_set_pubkey(out.get(), key);
        return out;
    }
    static void extend(int what, const std::string& value, X509* certificate) {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, what, value.c_str());
        X509_add_ext(certificate, extension, -1);
        X509_EXTENSION_free(extension);
    }
    void sign(X509* certificate, X509* issuer) const {
        X509_set_issuer_name(certificate, X509_get_subject_name(issuer));
        X509_sign(certificate, key_.get(), EVP_sha256());
    }
    static std::string textOf(BIO* bio) {
        char* text = nullptr;
        const long size = BIO_get_mem_data(bio, &text);
        return {text, static_cast<std::size_t>(size)};
    }
    static std::string pemOf(X509* certificate) {
        const std::unique_ptr<BIO, Free> bio(BIO_new(BIO_s_mem()));
        PEM_write_bio_X509(bio.get(), certificate);
        return textOf(bio.get());
    }
    static std::string pemOf(EVP_PKEY* key) {
        const std::unique_ptr<BIO, Free> bio(BIO_new(BIO_s_mem()));
        PEM_write_bio_PrivateKey(bio.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
        return textOf(bio.get());
    }

    Key key_;
    Certificate certificate_;
    mutable long serial_ = 1;
};

inline std::string writeFile(const std::string& path, const std::string& text) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
    return path;
}

}  // namespace marldale::tests
