/** A stand-in for the platform's config service, which instances read and watch over HTTP. */
package org.gentianslip.standin.config;
