//! Certificates of a deployment.

use std::{fs, path::Path};

use eyre::{Result, WrapErr};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use sesamewing::net::SERVER_NAME;

fn write(dir: &Path, file: &str, text: &str) -> Result<()> {
    let path = dir.join(file);
    fs::write(&path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
}

/// Writes a new authority to `ca.pem` and a certificate and key for each name to `NAME.pem` and `NAME.key`.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn write_certs(dir: &Path, names: &[String]) -> Result<()> {
    fs::create_dir_all(dir).wrap_err_with(|| format!("cannot create {}", dir.display()))?;
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "development authority");
    let key = KeyPair::generate()?;
    write(dir, "ca.pem", &params.self_signed(&key)?.pem())?;
    let authority = Issuer::new(params, key);
    for name in names {
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, name.as_str());
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate()?;
        let cert = params.signed_by(&key, &authority)?;
        write(dir, &format!("{name}.pem"), &cert.pem())?;
        write(dir, &format!("{name}.key"), &key.serialize_pem())?;
    }
    Ok(())
}
