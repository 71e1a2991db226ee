/** Tests with real processes and fault proxies, and checks of the dependencies between modules. */
package org.endivemux.integration;
