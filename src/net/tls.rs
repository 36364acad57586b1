//! Mutual TLS from files.

use std::{path::PathBuf, sync::Arc};

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    crypto::{ring, CryptoProvider},
    pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer},
    server::WebPkiClientVerifier,
    ClientConfig, RootCertStore, ServerConfig,
};

/// Name in every certificate of a deployment; processes are addressed by IP number, the authority tells them apart.
pub const SERVER_NAME: &str = "sesamewing";

/// Protocol identifier, so that other QUIC services are refused in the handshake.
const ALPN: &[u8] = b"sesamewing/1";

/// PEM files of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of the deployment's authority.
    pub authority: PathBuf,
    /// Certificate chain of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// TLS settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{file} cannot be used ({reason}); check the `tls` section of the process settings")]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        reason: String,
    },
    /// Certificate and key cannot be combined.
    #[error(
        "the tls settings cannot be used ({0}); check that key and certificate belong together"
    )]
    Config(String),
}

fn file_error(file: &std::path::Path, reason: impl ToString) -> TlsError {
    TlsError::File {
        file: file.to_owned(),
        reason: reason.to_string(),
    }
}

fn config_error(e: impl ToString) -> TlsError {
    TlsError::Config(e.to_string())
}

impl TlsFiles {
    fn roots(&self) -> Result<Arc<RootCertStore>, TlsError> {
        let file = &self.authority;
        let cert = CertificateDer::from_pem_file(file).map_err(|e| file_error(file, e))?;
        let mut roots = RootCertStore::empty();
        roots.add(cert).map_err(|e| file_error(file, e))?;
        Ok(Arc::new(roots))
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        let file = &self.certificate;
        let certs = CertificateDer::pem_file_iter(file).map_err(|e| file_error(file, e))?;
        let chain = certs
            .collect::<Result<Vec<_>, _>>()
            .map_err(|e| file_error(file, e))?;
        if chain.is_empty() {
            return Err(file_error(file, "no certificate"));
        }
        Ok(chain)
    }

    fn key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        PrivateKeyDer::from_pem_file(&self.key).map_err(|e| file_error(&self.key, e))
    }

    /// Checks that the files can be used, without opening a socket.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file that cannot be used.
    pub fn check(&self) -> Result<(), TlsError> {
        self.server()?;
        self.client()?;
        Ok(())
    }

    /// Builds the server side; clients without a certificate of the authority are refused.
    pub(super) fn server(&self) -> Result<QuicServerConfig, TlsError> {
        let provider: Arc<CryptoProvider> = ring::default_provider().into();
        let verifier = WebPkiClientVerifier::builder_with_provider(self.roots()?, provider.clone())
            .build()
            .map_err(config_error)?;
        let mut config = ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.key()?)
            .map_err(config_error)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicServerConfig::try_from(config).map_err(config_error)
    }

    /// Builds the client side; servers without a certificate of the authority are refused.
    pub(super) fn client(&self) -> Result<QuicClientConfig, TlsError> {
        let mut config = ClientConfig::builder_with_provider(ring::default_provider().into())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(config_error)?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.key()?)
            .map_err(config_error)?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        QuicClientConfig::try_from(config).map_err(config_error)
    }
}
