/** A blocking HTTP client for control traffic, based on Undertow's client. */
package org.parsleycart.link.http;
